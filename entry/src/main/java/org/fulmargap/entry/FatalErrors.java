package org.fulmargap.entry;

/**
 * Ends the process when one of its threads fails. A VM without its event loop, or without
 * a thread that reads the store, looks alive and serves nothing or serves old routes.
 */
final class FatalErrors implements Thread.UncaughtExceptionHandler {

	/** The exit code of a process that can't go on. */
	static final int EXIT_CODE = 3;

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
			EventLog.state("fatal").with("reason", reason).with("code", EXIT_CODE).writeLast();
		}
		finally {
			this.exit.run();
		}
	}

}
