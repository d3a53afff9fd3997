package org.fulmargap.entry;

/**
 * Starts an entry VM on the users' platform: {@code fulmargap-entry}. Registers for the
 * signals before anything else is loaded, because the JVM ends at a signal until then.
 */
public final class EntryMain {

	private EntryMain() {
	}

	/**
	 * Starts the process and blocks until it ends. Exits with code 2 if the settings
	 * can't be read, and with code 3 if a thread fails: the platform then starts a new
	 * process.
	 * @param args not used
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	public static void main(String[] args) throws InterruptedException {
		ProcessSignals signals = ProcessSignals.register();
		EntryLauncher.run(signals);
	}

}
