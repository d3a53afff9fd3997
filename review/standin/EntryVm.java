import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An entry VM in a process of its own, started with the words of {@code run} in
 * deploy/system.toml, on a loopback address of its own.
 */
final class EntryVm implements AutoCloseable {

	private final String name;

	private final String ip;

	private final int callerPort;

	private final int readinessPort;

	private final Record record;

	private final Process process;

	private final Path log;

	EntryVm(String name, Path directory, Store store, Record record) throws IOException {
		this.name = name;
		this.record = record;
		Random random = new Random();
		this.ip = "127." + (16 + random.nextInt(200)) + '.' + random.nextInt(250) + '.' + (2 + random.nextInt(250));
		this.callerPort = freePort();
		this.readinessPort = freePort();
		int peerPort = freePort();
		Path settings = Files.writeString(directory.resolve(name + ".toml"), settings(peerPort, store.address()));
		this.log = directory.resolve(name + ".log");
		ProcessBuilder builder = new ProcessBuilder(command());
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("FULMARGAP_BOOT", settings.toString());
		this.process = builder.redirectErrorStream(true).redirectOutput(this.log.toFile()).start();
		Runtime.getRuntime().addShutdownHook(new Thread(this.process::destroyForcibly));
		record.write("entry VM " + name + " starts at " + this.ip);
	}

	private int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(this.ip))) {
			return socket.getLocalPort();
		}
	}

	private static List<String> command() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no run line");
		}
		return List.of(run.group(1).split(" "));
	}

	private String settings(int peerPort, String storeAddress) {
		return """
				node = "%1$s"
				role = "entry"
				machine-class = "edge"
				serves = ["edge"]
				ip = "%2$s"
				zone = "gent-a"
				region = "be-flanders"
				port-range = [%3$d,%3$d]
				seeds = []
				bootstrap = true
				loss-counts = false
				discovery = "platform"
				entry = "virtual_ip"
				heartbeat-ms = 1200
				contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","stages"]
				[zones]
				gent-a = "be-flanders"
				[listen]
				frontend = "%2$s:%4$d"
				readiness = "%2$s:%5$d"
				[limits]
				cpu-share = 0.75
				cpu-cores = 1
				memory-mb = 430
				max-fds = 4100
				link-mbps = 1000.0
				disk-mb = 0
				[fault-tolerance]
				machines = 1
				zones = 1
				regions = 0
				[bounds]
				seed-lag-s = 3
				reuse-after-s = 2
				contact-ms = 3000
				ack-ms = 4000
				catch-up-s = 4
				drain-ms = 2000
				grace-s = 8
				loss-slack-ms = 200
				config-apply-ms = 2000
				rollback-slack-ms = 250
				outer-ms = 5000
				strict-revocation = false
				revoke-ms = 5000
				retry-ratio = 0.2
				retry-window-s = 10
				retry-slack = 52
				cold-overrun = 1.5
				cold-slack = 5
				evacuate-ms = 5000
				recovery-s = 12
				delivery-slack-ms = 120
				reuse-window-s = 9.8
				[platform]
				address = "%6$s"
				form = "log"
				writes-per-s = 400
				reads-per-s = 2000
				parts = 12
				append-ms = 2.0
				partition-mb-s = 20.0
				read-mb-s = 80.0
				record-bytes = 262144
				call-bytes = 2097152
				keep_s = 300
				part-mb = 200
				ttl-min-ms = 1000
				""".formatted(this.name, this.ip, peerPort, this.callerPort, this.readinessPort, storeAddress);
	}

	/** Asks the readiness address as the platform does; returns whether the answer is 200. */
	boolean isReady() {
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(1_000);
			socket.connect(new InetSocketAddress(this.ip, this.readinessPort), 1_000);
			socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: probe\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			Message answer = Message.read(socket.getInputStream());
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	void awaitReady() throws InterruptedException {
		long untilMs = this.record.nowMs() + 15_000;
		while (!isReady()) {
			if (this.record.nowMs() > untilMs || !this.process.isAlive()) {
				throw new IllegalStateException(this.name + " does not become ready");
			}
			Thread.sleep(50);
		}
		this.record.write("entry VM " + this.name + " is ready");
	}

	Client connect(int receiveBytes) throws IOException {
		return new Client(new InetSocketAddress(this.ip, this.callerPort), receiveBytes);
	}

	void signal(String signal) throws IOException, InterruptedException {
		this.record.write("entry VM " + this.name + " gets SIG" + signal);
		new ProcessBuilder("sh", "-c", "kill -s " + signal + " " + this.process.pid()).start().waitFor();
	}

	boolean awaitExit(long timeoutMs) throws InterruptedException {
		boolean exited = this.process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
		this.record.write("entry VM " + this.name + ((exited) ? " has exited" : " still runs"));
		return exited;
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	@Override
	public void close() throws IOException {
		this.process.destroyForcibly();
		for (String line : Files.readAllLines(this.log)) {
			if (line.startsWith("Exception in thread")) {
				this.record.write("log of " + this.name + ": " + line);
			}
		}
	}

}
