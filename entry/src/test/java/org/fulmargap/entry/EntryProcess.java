package org.fulmargap.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.fulmargap.platform.NodeSettingsFile;
import org.fulmargap.platform.standin.SettingsText;

/**
 * An entry VM in a separate process, on a separate loopback address.
 */
final class EntryProcess implements AutoCloseable {

	static final int CALLER_PORT = 18_625;

	static final int READINESS_PORT = 18_621;

	static final int PEER_PORT = 18_740;

	/**
	 * The folder of another landing, in which its packaged program is started as deployed
	 * instead of this one's.
	 */
	private static final String LANDING = System.getProperty("entry.landing");

	private static final long EXIT_TIMEOUT_S = 20;

	private static final int HTTP_OK = 200;

	private static final HttpClient CLIENT = HttpClient.newHttpClient();

	private static final Pattern ERRORS = Pattern
		.compile("event=fatal|memory_short|Terminating|Exception in thread|Error");

	private static final int MAX_PRINTED_LINES = 20;

	private final String ip;

	private final Process process;

	private final Path settings;

	private final Path log;

	/**
	 * Starts a process.
	 * @param number a number from 1 to 200 that no other process has
	 * @param directory the directory for its settings and its log
	 * @param storeAddress the address of the store as {@code IP:port}
	 * @throws IOException if the process can't be started
	 */
	EntryProcess(int number, Path directory, String storeAddress) throws IOException {
		this(number, "a", directory, storeAddress);
	}

	/**
	 * Starts a process in a given failure domain.
	 * @param number a number from 1 to 200 that no other process has
	 * @param domain the failure domain
	 * @param directory the directory for its settings and its log, to which a process
	 * that starts under the number of an ended one appends
	 * @param storeAddress the address of the store as {@code IP:port}
	 * @throws IOException if the process can't be started
	 */
	EntryProcess(int number, String domain, Path directory, String storeAddress) throws IOException {
		this(number, directory,
				Files.writeString(directory.resolve("vm-" + number + ".toml"), settings(number, domain, storeAddress)));
	}

	/**
	 * Starts a process with a given settings file.
	 * @param number a number from 1 to 200 that no other process has
	 * @param directory the directory for its log
	 * @param settings its settings file, which need not exist
	 * @throws IOException if the process can't be started
	 */
	EntryProcess(int number, Path directory, Path settings) throws IOException {
		this(number, directory, settings, (builder) -> {
		});
	}

	/**
	 * Starts a process in a changed way.
	 * @param number a number from 1 to 200 that no other process has
	 * @param directory the directory for its log
	 * @param settings its settings file, which need not exist
	 * @param change changes how the process is started
	 * @throws IOException if the process can't be started
	 */
	EntryProcess(int number, Path directory, Path settings, Consumer<ProcessBuilder> change) throws IOException {
		this.ip = ip(number);
		this.settings = settings;
		ProcessBuilder builder = new ProcessBuilder(command());
		if (LANDING != null) {
			builder.directory(Path.of(LANDING).toFile());
		}
		builder.environment().put(NodeSettingsFile.PATH_VARIABLE, this.settings.toString());
		this.log = directory.resolve("vm-" + number + ".log");
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		change.accept(builder);
		this.process = builder.start();
	}

	/**
	 * Returns the text of the settings file of a process.
	 */
	static String settings(int number, String domain, String storeAddress) {
		return SettingsText.of("vm-" + number, domain, ip(number), CALLER_PORT, READINESS_PORT, PEER_PORT,
				storeAddress);
	}

	// The program under test with the deployed options, without the archive of classes,
	// which belongs to the packaged program; or the whole command of another landing.
	private static List<String> command() throws IOException {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		if (LANDING != null) {
			command.addAll(deployedArguments(Path.of(LANDING)));
			return command;
		}
		deployedArguments(Path.of(System.getProperty("repository.root"))).stream()
			.takeWhile((argument) -> !"-jar".equals(argument))
			.filter((option) -> !option.contains("SharedArchiveFile") && !option.contains("share:"))
			.forEach(command::add);
		command.addAll(List.of("-cp", System.getProperty("java.class.path"), EntryMain.class.getName()));
		return command;
	}

	private static List<String> deployedArguments(Path landing) throws IOException {
		String deploy = Files.readString(landing.resolve("deploy").resolve("system.toml"));
		Matcher run = Pattern.compile("(?m)^run = \"java (.* -jar .*)\"$").matcher(deploy);
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no run line");
		}
		return List.of(run.group(1).split(" "));
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

	/**
	 * Returns the address on which a process listens for other VMs.
	 * @param number the number of the process
	 * @return the address as {@code IP:port}
	 */
	static String peerAddress(int number) {
		return ip(number) + ':' + PEER_PORT;
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
		if (!isAlive()) {
			return;
		}
		new ProcessBuilder("kill", '-' + signal, Long.toString(this.process.pid())).inheritIO().start().waitFor();
	}

	/**
	 * Returns whether callers can connect.
	 */
	boolean isCallerPortOpen() {
		try (Socket socket = new Socket(this.ip, CALLER_PORT)) {
			return socket.isConnected();
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Returns whether the process has a thread of the given name, of which the kernel
	 * keeps 15 characters.
	 */
	boolean hasThread(String name) {
		try (Stream<Path> threads = Files.list(Path.of("/proc/" + this.process.pid() + "/task"))) {
			for (Path thread : (Iterable<Path>) threads::iterator) {
				if (Files.readString(thread.resolve("comm")).startsWith(name)) {
					return true;
				}
			}
		}
		catch (IOException | UncheckedIOException ex) {
			// The process or the thread has ended meanwhile.
		}
		return false;
	}

	boolean isReady() {
		HttpRequest probe = HttpRequest.newBuilder(URI.create("http://" + readinessAddress() + "/readyz"))
			.timeout(Duration.ofSeconds(1))
			.build();
		try {
			return CLIENT.send(probe, HttpResponse.BodyHandlers.discarding()).statusCode() == HTTP_OK;
		}
		catch (IOException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Replaces text in the settings file in one step, without a signal.
	 */
	void changeSettings(String pattern, String replacement) throws IOException {
		Path next = Path.of(this.settings + ".next");
		Files.writeString(next, Files.readString(this.settings).replaceAll(pattern, replacement));
		Files.move(next, this.settings, StandardCopyOption.ATOMIC_MOVE);
	}

	/**
	 * Empties the settings file and writes the same text again after a pause, without a
	 * signal.
	 */
	void rewriteSettings(long pauseMs) throws IOException, InterruptedException {
		String text = Files.readString(this.settings);
		Files.writeString(this.settings, "");
		Thread.sleep(pauseMs);
		Files.writeString(this.settings, text);
	}

	/**
	 * Returns the lines of the log with a given text.
	 */
	List<String> logLines(String text) throws IOException {
		try (Stream<String> lines = Files.lines(this.log)) {
			return lines.filter((line) -> line.contains(text)).toList();
		}
	}

	long pid() {
		return this.process.pid();
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Waits for the exit of the process without a limit.
	 * @return its exit code
	 */
	int waitFor() throws InterruptedException {
		return this.process.waitFor();
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

	// Prints what the log says of errors, because its directory is deleted after the
	// test.
	@Override
	public void close() {
		this.process.destroyForcibly();
		try (Stream<String> lines = Files.lines(this.log)) {
			lines.filter((line) -> ERRORS.matcher(line).find()).limit(MAX_PRINTED_LINES).forEach(System.out::println);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
