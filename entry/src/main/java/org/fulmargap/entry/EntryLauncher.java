package org.fulmargap.entry;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.fulmargap.platform.NodeSettings;
import org.fulmargap.platform.NodeSettingsException;
import org.fulmargap.platform.NodeSettingsFile;

/**
 * The life of an entry VM's process: it reads the settings, starts the VM and handles the
 * signals meanwhile and afterwards.
 */
final class EntryLauncher {

	/** The port of the metrics, as declared in deploy/system.toml. */
	private static final int METRICS_PORT = 9_464;

	private static final int EXIT_BAD_SETTINGS = 2;

	/** How long the process waits for settings that can be read, in milliseconds. */
	private static final long SETTINGS_WAIT_MS = 5_000;

	private static final long SETTINGS_RETRY_MS = 50;

	// Memory may have run out, so nothing else is done before the process ends.
	private final FatalErrors fatalErrors = new FatalErrors(() -> Runtime.getRuntime().halt(FatalErrors.EXIT_CODE));

	private final Path file;

	private NodeSettings settings;

	private boolean settingsChanged;

	private String awaitedFault;

	/** Held while the VM starts to listen, so that a VM that accepts requests drains. */
	private final Object startLock = new Object();

	// Guarded by the start lock.
	private boolean stopped;

	private volatile EntryVm vm;

	private EntryLauncher(Path file) {
		this.file = file;
	}

	/**
	 * Runs the process until it ends.
	 * @param signals the signals of the platform
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	static void run(ProcessSignals signals) throws InterruptedException {
		String path = System.getenv(NodeSettingsFile.PATH_VARIABLE);
		EntryLauncher launcher = new EntryLauncher(Path.of((path != null) ? path : "/etc/fulmargap/node.toml"));
		Thread.setDefaultUncaughtExceptionHandler(launcher.fatalErrors);
		launcher.logStart();
		if (!signals.unhandled().isEmpty()) {
			EventLog.state("signals_unhandled").with("signals", String.join(" ", signals.unhandled())).writeDirect();
		}
		signals.forwardTo(launcher::received);
		launcher.serve();
	}

	private void serve() throws InterruptedException {
		try {
			readSettings();
		}
		catch (NodeSettingsException ex) {
			exit("bad settings: " + ex.getMessage(), EXIT_BAD_SETTINGS);
			return;
		}
		synchronized (this.startLock) {
			while (this.stopped) {
				// The thread of the signal ends the process. Requests that are accepted
				// meanwhile would be cut.
				this.startLock.wait();
			}
			this.vm = new EntryVm(this.settings, METRICS_PORT);
			this.vm.start();
		}
		this.vm.awaitEnd();
		this.fatalErrors.end("the event loop has ended");
		// Here a drain has ended the event loop. The thread of its signal writes the last
		// line and exits; it is a daemon, so the JVM would not wait for it.
		new CountDownLatch(1).await();
	}

	// The platform may be writing the file, so one that is missing or incomplete is read
	// again for a while.
	private NodeSettings awaitSettings() throws NodeSettingsException, InterruptedException {
		long deadlineMs = nowMs() + SETTINGS_WAIT_MS;
		while (true) {
			try {
				return NodeSettingsFile.read(this.file);
			}
			catch (NodeSettingsException ex) {
				long leftMs = deadlineMs - nowMs();
				if (leftMs <= 0) {
					throw ex;
				}
				logAwaited(ex, leftMs);
			}
			Thread.sleep(SETTINGS_RETRY_MS);
		}
	}

	// Only the first of equal faults is logged.
	private void logAwaited(NodeSettingsException fault, long leftMs) {
		if (fault.getMessage().equals(this.awaitedFault)) {
			return;
		}
		this.awaitedFault = fault.getMessage();
		EventLog.state("settings_awaited")
			.with("file", this.file)
			.with("key", fault.key())
			.with("cause", fault.getMessage())
			.with("left_ms", leftMs)
			.writeDirect();
	}

	private static long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	// Reads them again if a signal says meanwhile that they have changed.
	private void readSettings() throws NodeSettingsException, InterruptedException {
		while (true) {
			NodeSettings read = awaitSettings();
			synchronized (this) {
				if (!this.settingsChanged) {
					this.settings = read;
					return;
				}
				this.settingsChanged = false;
			}
		}
	}

	private void received(String signal) {
		EventLog.state("signal").with("signal", signal).writeDirect();
		if (signal.equals("HUP")) {
			reload();
		}
		else {
			stop(signal);
		}
	}

	// Settings stay in force for the life of a process. A changed file is only checked
	// and logged; it takes effect at the next start.
	private void reload() {
		synchronized (this) {
			if (this.settings == null) {
				this.settingsChanged = true;
				return;
			}
		}
		try {
			boolean changed = !NodeSettingsFile.read(this.file).equals(this.settings);
			EventLog.state("reload").with("file", this.file).with("changed", changed).write();
		}
		catch (NodeSettingsException ex) {
			EventLog.state("reload_refused")
				.with("file", this.file)
				.with("key", ex.key())
				.with("cause", ex.getMessage())
				.write();
		}
	}

	// Only the first signal ends the process, when its drain is over.
	private void stop(String signal) {
		EntryVm started;
		synchronized (this.startLock) {
			started = this.vm;
			this.stopped = true;
		}
		if (started == null) {
			exit(signal + " before the start was over", 0);
			return;
		}
		try {
			if (started.drain()) {
				this.fatalErrors.disarm();
				started.close();
				exit("drained after " + signal, 0);
			}
			EventLog.state("signal_ignored").with("signal", signal).with("reason", "draining").write();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void logStart() {
		ProcessLimits limits = ProcessLimits.own();
		EventLog.state("process_started")
			.with("pid", ProcessHandle.current().pid())
			.with("java", System.getProperty("java.runtime.version"))
			.with("settings", this.file)
			.with("heap_mb", Runtime.getRuntime().maxMemory() >> 20)
			.with("max_fds", limits.soft("Max open files"))
			.with("max_threads", limits.soft("Max processes"))
			.with("max_address_space", limits.soft("Max address space"))
			.writeDirect();
	}

	private static void exit(String reason, int code) {
		EventLog.state("exit").with("reason", reason).with("code", code).writeLast();
		System.exit(code);
	}

}
