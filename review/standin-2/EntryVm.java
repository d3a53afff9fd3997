import java.io.IOException;
import java.io.File;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One process of the project, started with the command of the deploy file and a settings
 * file like that of a small deployment. Each has a loopback address of its own.
 */
final class EntryVm implements AutoCloseable {

	private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

	private final Path folder;

	private final Path settings;

	private final String name;

	private final String ip;

	private Process process;

	private volatile long disturbedAtMs;

	EntryVm(Path folder, String name, String zone, String ip, String store) throws IOException {
		this.folder = folder;
		this.name = name;
		this.ip = ip;
		this.settings = folder.resolve(name + ".toml");
		writeSettings(zone, store, 8);
	}

	/** Writes the settings file, whole at once. */
	void writeSettings(String zone, String store, int graceSeconds) throws IOException {
		String text = """
				node = "%s"
				role = "entry"
				machine-class = "edge"
				serves = ["edge"]
				ip = "%s"
				zone = "%s"
				region = "be-flanders"
				port-range = [7740,7755]
				seeds = []
				bootstrap = true
				loss-counts = false
				discovery = "platform"
				entry = "virtual_ip"
				heartbeat-ms = 1200
				contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","stages"]
				[zones]
				gent-a = "be-flanders"
				gent-b = "be-flanders"
				gent-c = "be-flanders"
				[listen]
				frontend = "%s:8625"
				readiness = "%s:8621"
				control-plane = "%s:8628"
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
				grace-s = %d
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
				address = "%s"
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
				""".formatted(this.name, this.ip, zone, this.ip, this.ip, this.ip, graceSeconds, store);
		Path fresh = this.folder.resolve(this.name + ".new");
		Files.writeString(fresh, text);
		Files.move(fresh, this.settings, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
				java.nio.file.StandardCopyOption.ATOMIC_MOVE);
	}

	void start() throws IOException {
		Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("the deploy file has no command");
		}
		ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("FULMARGAP_BOOT", this.settings.toString());
		File log = this.folder.resolve(this.name + ".log").toFile();
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
		builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
		this.disturbedAtMs = now();
		this.process = builder.start();
	}

	String name() {
		return this.name;
	}

	String ip() {
		return this.ip;
	}

	int callerPort() {
		return 8625;
	}

	long pid() {
		return this.process.pid();
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	/** When the process was last started, stopped or signalled by the test. */
	long disturbedAtMs() {
		return this.disturbedAtMs;
	}

	boolean isReady() {
		try {
			HttpURLConnection question = (HttpURLConnection) new URL("http://" + this.ip + ":8621/readyz")
				.openConnection();
			question.setConnectTimeout(500);
			question.setReadTimeout(500);
			int status = question.getResponseCode();
			question.disconnect();
			return status == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	boolean awaitReady(long timeoutMs) throws InterruptedException {
		long endMs = now() + timeoutMs;
		while (now() < endMs) {
			if (isReady()) {
				return true;
			}
			Thread.sleep(50);
		}
		return false;
	}

	/** SIGTERM, then SIGKILL after grace-s, as the platform does. */
	void stop(long graceMs) throws InterruptedException {
		this.disturbedAtMs = now();
		this.process.destroy();
		if (!this.process.waitFor(graceMs, TimeUnit.MILLISECONDS)) {
			this.process.destroyForcibly();
			this.process.waitFor();
		}
		this.disturbedAtMs = now();
	}

	void kill() throws InterruptedException {
		this.disturbedAtMs = now();
		this.process.destroyForcibly();
		this.process.waitFor();
	}

	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	String log() throws IOException {
		return Files.readString(this.folder.resolve(this.name + ".log"));
	}

	static long now() {
		return System.nanoTime() / 1_000_000;
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

}
