package org.fulmargap.server;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import picocli.CommandLine;

/**
 * Main class of {@code fulmargapd}.
 */
@CommandLine.Command(name = "fulmargapd", version = "fulmargapd 0.1.0", mixinStandardHelpOptions = true,
		description = "Serves pipelines of models as one entry VM.")
public final class FulmargapServer implements Callable<Integer> {

	/** Exit code for invalid settings. */
	private static final int EXIT_SETTINGS = 2;

	@CommandLine.Option(names = "--settings", required = true, paramLabel = "FILE",
			description = "JSON file with the settings of this entry VM.")
	private Path settingsFile;

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	private FulmargapServer() {
	}

	/**
	 * Runs the server until the process is terminated.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		int code = new CommandLine(new FulmargapServer()).execute(args);
		if (code != 0) {
			System.exit(code);
		}
	}

	@Override
	public Integer call() throws InterruptedException {
		try {
			EntryVm vm = DaggerServerComponent.factory().create(SettingsFile.read(this.settingsFile)).entryVm();
			CountDownLatch stopped = new CountDownLatch(1);
			vm.start();
			Runtime.getRuntime().addShutdownHook(new Thread(() -> {
				vm.drain();
				stopped.countDown();
			}, "drain"));
			stopped.await();
			return 0;
		}
		catch (SettingsException ex) {
			PrintWriter err = this.spec.commandLine().getErr();
			err.println(ex.getMessage());
			err.flush();
			return EXIT_SETTINGS;
		}
	}

}
