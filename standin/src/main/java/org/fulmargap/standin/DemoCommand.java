package org.fulmargap.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the demo and ends all its processes.
 */
@Command(name = "demo", mixinStandardHelpOptions = true,
		description = "Starts stand-ins and entry VMs of three failure domains and checks the guarantees.")
final class DemoCommand implements Callable<Integer> {

	/** Exit code of a demo with an unexpected result. */
	private static final int EXIT_UNEXPECTED_RESULT = 1;

	@Option(names = "--root", required = true, description = "Root of the repository.")
	private Path root;

	@Option(names = "--keep", description = "Leave the system running until the demo is interrupted.")
	private boolean keep;

	@Override
	public Integer call() throws Exception {
		PrintStream out = System.out;
		Path workDirectory = Files.createTempDirectory("fulmargap-demo");
		Cluster cluster = new Cluster(ClusterOptions.threeDomains(
				List.of(this.root.resolve("bin/fulmargapd").toString()), this.root.resolve("config"), workDirectory));
		boolean asExpected = false;
		try {
			cluster.start();
			asExpected = new Demo(cluster, this.root.resolve("bin/fulmargapctl"), workDirectory, out).run();
			if (this.keep) {
				restartEnded(cluster);
				printUrls(cluster, out);
				new CountDownLatch(1).await();
			}
			asExpected &= stop(cluster, out);
		}
		finally {
			cluster.close();
			if (asExpected) {
				delete(workDirectory);
			}
			else {
				out.println("settings and logs are kept in " + workDirectory);
			}
		}
		return asExpected ? 0 : EXIT_UNEXPECTED_RESULT;
	}

	// Restarts the entry VM that the demo killed: while a member is missing, every patch
	// is refused.
	private static void restartEnded(Cluster cluster) throws Exception {
		for (EntryVm vm : cluster.vms()) {
			if (!vm.isAlive()) {
				vm.start();
				cluster.awaitReady(vm);
			}
		}
	}

	private static boolean stop(Cluster cluster, PrintStream out) throws InterruptedException {
		List<EntryVm> running = cluster.vms().stream().filter(EntryVm::isAlive).toList();
		running.forEach(EntryVm::terminate);
		boolean ended = true;
		for (EntryVm vm : running) {
			if (!vm.awaitEnd(15_000)) {
				out.println(vm.name() + " did not end after SIGTERM");
				ended = false;
			}
		}
		out.println("stopped " + running.size() + " entry VMs with SIGTERM, left running: "
				+ cluster.vms().stream().filter(EntryVm::isAlive).count());
		return ended;
	}

	private static void printUrls(Cluster cluster, PrintStream out) {
		out.println();
		out.println("The system runs until this command is interrupted.");
		cluster.vms()
			.stream()
			.filter(EntryVm::isAlive)
			.forEach((vm) -> out.println("vm=" + vm.name() + " caller=" + vm.callerUrl() + " admin=" + vm.adminUrl()));
		cluster.endpointNames()
			.forEach((name) -> out.println("endpoint=" + name + " url=" + cluster.endpointUrl(name)));
		out.println("platform=" + cluster.platformUrl());
		out.println("curl -H 'Authorization: Bearer " + Cluster.API_KEY + "' -d '{\"input\":\"weekly plan\"}' "
				+ cluster.vms().get(0).callerUrl() + "/v1/pipelines/price-explanation/requests");
	}

	private static void delete(Path directory) throws IOException {
		try (Stream<Path> paths = Files.walk(directory)) {
			paths.sorted(Comparator.reverseOrder()).forEach((path) -> {
				try {
					Files.delete(path);
				}
				catch (IOException ex) {
					throw new UncheckedIOException(ex);
				}
			});
		}
	}

}
