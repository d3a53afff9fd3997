package org.fulmargap.entry;

/**
 * Ends the process when one of its threads fails. A VM without its event loop, or without
 * a thread that reads the store, looks alive and serves nothing or serves old routes.
 */
final class FatalErrors implements Thread.UncaughtExceptionHandler {

	private final Runnable exit;

	private volatile boolean disarmed;

	/**
	 * Creates a handler.
	 * @param exit ends the process
	 */
	FatalErrors(Runnable exit) {
		this.exit = exit;
	}

	/**
	 * Ignores all later errors, because the process ends now. Threads that are cut off
	 * from what they use fail then.
	 */
	void disarm() {
		this.disarmed = true;
	}

	@Override
	public void uncaughtException(Thread thread, Throwable cause) {
		end("thread " + thread.getName() + " failed: " + cause);
	}

	/**
	 * Logs the reason if that is possible, and ends the process.
	 * @param reason why the process can't go on
	 */
	void end(String reason) {
		if (this.disarmed) {
			return;
		}
		try {
			// The log is written by another thread, which may come too late.
			System.err.println(EventLog.state("fatal").with("reason", reason));
		}
		finally {
			this.exit.run();
		}
	}

}
