package org.fulmargap.entry;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.fulmargap.platform.NodeSettingsFile;
import org.fulmargap.platform.standin.SettingsText;

/**
 * An entry VM in a separate process, on a separate loopback address.
 */
final class EntryProcess implements AutoCloseable {

	private static final int CALLER_PORT = 18_625;

	private static final int READINESS_PORT = 18_621;

	private static final int PEER_PORT = 18_740;

	private static final long EXIT_TIMEOUT_S = 20;

	private final String ip;

	private final Process process;

	/**
	 * Starts a process.
	 * @param number a number from 1 to 200 that no other process has
	 * @param directory the directory for its settings and its log
	 * @param storeAddress the address of the store as {@code IP:port}
	 * @throws IOException if the process can't be started
	 */
	EntryProcess(int number, Path directory, String storeAddress) throws IOException {
		this.ip = ip(number);
		Path settings = Files.writeString(directory.resolve("vm-" + number + ".toml"),
				SettingsText.of("vm-" + number, this.ip, CALLER_PORT, READINESS_PORT, PEER_PORT, storeAddress));
		String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		ProcessBuilder builder = new ProcessBuilder(java, "-Xmx96m", "-cp", System.getProperty("java.class.path"),
				EntryMain.class.getName());
		builder.environment().put(NodeSettingsFile.PATH_VARIABLE, settings.toString());
		File log = directory.resolve("vm-" + number + ".log").toFile();
		this.process = builder.redirectErrorStream(true).redirectOutput(log).start();
	}

	/**
	 * Returns the IP address of a process. It depends on the id of this process, so that
	 * test runs at the same time on one machine rarely share addresses.
	 * @param number the number of the process
	 * @return the IP address
	 */
	static String ip(int number) {
		return "127.7." + ProcessHandle.current().pid() % 250 + '.' + number;
	}

	String callerAddress() {
		return this.ip + ':' + CALLER_PORT;
	}

	String readinessAddress() {
		return this.ip + ':' + READINESS_PORT;
	}

	/**
	 * Sends a signal to the process.
	 * @param signal the name of the signal, for example {@code STOP}
	 */
	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", '-' + signal, Long.toString(this.process.pid())).inheritIO().start().waitFor();
	}

	/**
	 * Waits until the process exits.
	 * @return its exit code
	 */
	int awaitExit() throws InterruptedException {
		if (!this.process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
			throw new AssertionError("the process did not exit in time");
		}
		return this.process.exitValue();
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
	}

}
