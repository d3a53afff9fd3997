package org.fulmargap.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the control-plane overhead of an entry VM that serves no requests: CPU time,
 * memory and bytes on the loopback interface, for several numbers of entry VMs and
 * endpoints.
 */
@Command(name = "control-cost", mixinStandardHelpOptions = true,
		description = "Measures CPU time, memory and network traffic of idle entry VMs.")
final class ControlCostCommand implements Callable<Integer> {

	/** Unit of the CPU times in /proc (USER_HZ), a constant of the kernel interface. */
	private static final double TICKS_PER_SECOND = 100;

	private static final int UTIME_FIELD = 11;

	private static final int STIME_FIELD = 12;

	@Option(names = "--root", required = true, description = "Root of the repository.")
	private Path root;

	@Option(names = "--seconds", defaultValue = "10", description = "Length of a measurement in seconds.")
	private int seconds;

	@Option(names = "--warm-up-seconds", defaultValue = "60",
			description = "Time in seconds between start and measurement, in which the JVM compiles the code.")
	private int warmUpSeconds;

	@Option(names = "--vms-per-domain", split = ",", defaultValue = "1,2,4",
			description = "Numbers of entry VMs in each of three failure domains.")
	private List<Integer> vmsPerDomain;

	@Option(names = "--endpoints", split = ",", defaultValue = "15,60,150",
			description = "Numbers of endpoints with two entry VMs per failure domain.")
	private List<Integer> endpoints;

	@Override
	public Integer call() throws Exception {
		for (int vms : this.vmsPerDomain) {
			measure(vms, ClusterOptions.SERVICES.size() * 3);
		}
		for (int count : this.endpoints) {
			measure(2, count);
		}
		return 0;
	}

	private void measure(int vms, int endpointCount) throws Exception {
		Path workDirectory = Files.createTempDirectory("fulmargap-control-cost");
		ClusterOptions base = ClusterOptions.threeDomains(List.of(this.root.resolve("bin/fulmargapd").toString()),
				this.root.resolve("config"), workDirectory);
		ClusterOptions options = new ClusterOptions(base.failureDomains(), vms, base.services(), base.serverCommand(),
				base.templates(), workDirectory, base.platform(), base.endpoint());
		try (Cluster cluster = new Cluster(options)) {
			cluster.start();
			cluster.patch(cluster.vms().get(0), cluster.firstPatch());
			cluster.awaitVersion(1);
			if (endpointCount > cluster.endpointNames().size()) {
				cluster.patch(cluster.vms().get(0), additionalEndpoints(cluster, endpointCount));
				cluster.awaitVersion(2);
			}
			TimeUnit.SECONDS.sleep(this.warmUpSeconds);
			UsageSample before = UsageSample.take(cluster);
			TimeUnit.SECONDS.sleep(this.seconds);
			UsageSample after = UsageSample.take(cluster);
			int count = cluster.vms().size();
			double elapsed = (after.atNanos() - before.atNanos()) / 1e9;
			System.out.printf(Locale.ROOT,
					"entry_vms=%d endpoints=%d cpu_percent_of_core=%.2f rss_mib=%.0f loopback_kb_per_s=%.1f "
							+ "(per entry VM, idle)%n",
					count, endpointCount, (after.cpuSeconds() - before.cpuSeconds()) / elapsed / count * 100,
					after.rssKib() / 1024.0 / count, (after.bytes() - before.bytes()) / 1000.0 / elapsed / count);
		}
	}

	// Adds endpoint names with the URLs of running endpoints. Entry VMs poll each name
	// as an endpoint of its own.
	private static String additionalEndpoints(Cluster cluster, int count) {
		ObjectNode patch = Json.MAPPER.createObjectNode();
		ObjectNode added = patch.putObject("endpoints");
		List<String> names = cluster.endpointNames();
		for (int i = names.size(); i < count; i++) {
			added.putObject("copy-" + i)
				.put("service", "copies")
				.put("failure_domain", "bog-norte")
				.put("url", cluster.endpointUrl(names.get(i % names.size())))
				.put("max_concurrency", 8);
		}
		return patch.toString();
	}

	/**
	 * Totals of all entry VMs at a point in time.
	 *
	 * @param atNanos the point in time, as of {@link System#nanoTime()}
	 * @param cpuSeconds the CPU time in seconds
	 * @param rssKib the resident memory in KiB
	 * @param bytes the bytes that all processes sent over the loopback interface
	 */
	private record UsageSample(long atNanos, double cpuSeconds, long rssKib, long bytes) {

		static UsageSample take(Cluster cluster) throws IOException {
			double cpu = 0;
			long rss = 0;
			for (EntryVm vm : cluster.vms()) {
				String stat = Files.readString(Path.of("/proc", Long.toString(vm.pid()), "stat"));
				String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
				cpu += (Long.parseLong(fields[UTIME_FIELD]) + Long.parseLong(fields[STIME_FIELD])) / TICKS_PER_SECOND;
				rss += readNumber(Path.of("/proc", Long.toString(vm.pid()), "status"), "VmRSS:", 1);
			}
			return new UsageSample(System.nanoTime(), cpu, rss, readNumber(Path.of("/proc/net/dev"), "lo:", 9));
		}

		private static long readNumber(Path file, String label, int index) throws IOException {
			for (String line : Files.readAllLines(file)) {
				String[] fields = line.strip().split("\\s+");
				if (fields[0].equals(label)) {
					return Long.parseLong(fields[index]);
				}
			}
			throw new IOException(file + " has no line " + label);
		}

	}

}
