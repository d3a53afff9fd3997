package org.fulmargap.standin;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Entry VM that runs as a process of its own.
 */
public final class EntryVm implements AutoCloseable {

	private static final long SIGNAL_TIMEOUT_SECONDS = 10;

	private final String name;

	private final String failureDomain;

	private final int callerPort;

	private final int adminPort;

	private final int peerPort;

	private final List<String> command;

	private final File logFile;

	private Process process;

	EntryVm(String name, String failureDomain, int[] ports, List<String> command, Path logFile) {
		this.name = name;
		this.failureDomain = failureDomain;
		this.callerPort = ports[0];
		this.adminPort = ports[1];
		this.peerPort = ports[2];
		this.command = List.copyOf(command);
		this.logFile = logFile.toFile();
	}

	/**
	 * Returns the name of the VM.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the failure domain of the VM.
	 * @return the name of the failure domain
	 */
	public String failureDomain() {
		return this.failureDomain;
	}

	/**
	 * Returns the base URL for clients.
	 * @return a URL without a final slash
	 */
	public String callerUrl() {
		return "http://127.0.0.1:" + this.callerPort;
	}

	/**
	 * Returns the base URL for operators.
	 * @return a URL without a final slash
	 */
	public String adminUrl() {
		return "http://" + adminAddress();
	}

	/**
	 * Returns the address for operators.
	 * @return the IP address and port, joined by a colon
	 */
	public String adminAddress() {
		return "127.0.0.1:" + this.adminPort;
	}

	String callerAddress() {
		return "127.0.0.1:" + this.callerPort;
	}

	String peerAddress() {
		return "127.0.0.1:" + this.peerPort;
	}

	/**
	 * Starts the process.
	 * @throws IOException if it cannot be started
	 */
	public void start() throws IOException {
		ProcessBuilder builder = new ProcessBuilder(this.command);
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.logFile));
		this.process = builder.start();
	}

	/**
	 * Returns the id of the process.
	 * @return the process id
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Returns whether the process runs.
	 * @return {@code true} if it has been started and has not ended
	 */
	public boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	/**
	 * Kills the process with SIGKILL and waits until it has ended.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	/**
	 * Sends SIGTERM to the process, without waiting for its end.
	 */
	public void terminate() {
		this.process.destroy();
	}

	/**
	 * Waits until the process has ended.
	 * @param timeoutMs the maximum wait in milliseconds
	 * @return {@code true} if the process has ended
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean awaitEnd(long timeoutMs) throws InterruptedException {
		return this.process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Pauses the process with SIGSTOP.
	 * @throws IOException if the signal cannot be sent
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void pause() throws IOException, InterruptedException {
		signal("STOP");
	}

	/**
	 * Resumes a paused process with SIGCONT.
	 * @throws IOException if the signal cannot be sent
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void resume() throws IOException, InterruptedException {
		signal("CONT");
	}

	private void signal(String signal) throws IOException, InterruptedException {
		List<String> kill = List.of("/bin/sh", "-c", "kill -" + signal + " " + pid());
		Process sender = new ProcessBuilder(kill).redirectErrorStream(true).start();
		if (!sender.waitFor(SIGNAL_TIMEOUT_SECONDS, TimeUnit.SECONDS) || sender.exitValue() != 0) {
			throw new IOException("failed to send signal " + signal + " to process " + pid());
		}
	}

	/**
	 * Returns the output of the process, of all starts.
	 * @return the text of its log file, empty if there is none
	 * @throws IOException if the log cannot be read
	 */
	public String output() throws IOException {
		return this.logFile.exists() ? Files.readString(this.logFile.toPath(), StandardCharsets.UTF_8) : "";
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
			this.process.onExit().join();
		}
	}

}
