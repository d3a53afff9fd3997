package org.fulmargap.entry;

import java.nio.file.Path;
import java.util.List;

import org.fulmargap.platform.NodeSettings;
import org.fulmargap.platform.NodeSettingsException;
import org.fulmargap.platform.NodeSettingsFile;
import sun.misc.Signal;

/**
 * Starts an entry VM on the users' platform: {@code fulmargap-entry}.
 */
public final class EntryMain {

	/** The port of the metrics, as declared in deploy/system.toml. */
	private static final int METRICS_PORT = 9_464;

	private static final int EXIT_BAD_SETTINGS = 2;

	private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");

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
		String path = System.getenv(NodeSettingsFile.PATH_VARIABLE);
		Path file = Path.of((path != null) ? path : "/etc/fulmargap/node.toml");
		logStart(file);
		// Memory may have run out, so nothing else is done before the process ends.
		FatalErrors fatalErrors = new FatalErrors(() -> Runtime.getRuntime().halt(FatalErrors.EXIT_CODE));
		Thread.setDefaultUncaughtExceptionHandler(fatalErrors);
		NodeSettings settings;
		try {
			settings = NodeSettingsFile.read(file);
		}
		catch (NodeSettingsException ex) {
			exit("bad settings: " + ex.getMessage(), EXIT_BAD_SETTINGS);
			return;
		}
		EntryVm vm = new EntryVm(settings, METRICS_PORT);
		for (String name : STOP_SIGNALS) {
			Signal.handle(new Signal(name), (signal) -> {
				logSignal(name);
				new Thread(() -> stop(vm, name, fatalErrors), "stop").start();
			});
		}
		Signal.handle(new Signal("HUP"), (signal) -> {
			logSignal("HUP");
			reload(file, settings);
		});
		vm.start();
		vm.awaitEnd();
		fatalErrors.end("the event loop has ended");
	}

	private static void logStart(Path file) {
		ProcessLimits limits = ProcessLimits.own();
		EventLog.state("process_started")
			.with("pid", ProcessHandle.current().pid())
			.with("java", System.getProperty("java.runtime.version"))
			.with("settings", file)
			.with("heap_mb", Runtime.getRuntime().maxMemory() >> 20)
			.with("max_fds", limits.soft("Max open files"))
			.with("max_threads", limits.soft("Max processes"))
			.with("max_address_space", limits.soft("Max address space"))
			.writeDirect();
	}

	private static void logSignal(String name) {
		EventLog.state("signal").with("signal", name).writeDirect();
	}

	private static void exit(String reason, int code) {
		EventLog.state("exit").with("reason", reason).with("code", code).writeLast();
		System.exit(code);
	}

	// Settings stay in force for the life of a process. A changed file is only checked
	// and logged; it takes effect at the next start.
	private static void reload(Path file, NodeSettings inForce) {
		try {
			boolean changed = !NodeSettingsFile.read(file).equals(inForce);
			EventLog.state("reload").with("file", file).with("changed", changed).write();
		}
		catch (NodeSettingsException ex) {
			EventLog.state("reload_refused")
				.with("file", file)
				.with("key", ex.key())
				.with("cause", ex.getMessage())
				.write();
		}
	}

	// Only the first signal ends the process, when its drain is over.
	private static void stop(EntryVm vm, String signal, FatalErrors fatalErrors) {
		try {
			if (vm.drain()) {
				fatalErrors.disarm();
				vm.close();
				exit("drained after " + signal, 0);
			}
			EventLog.state("signal_ignored").with("signal", signal).with("reason", "draining").write();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
