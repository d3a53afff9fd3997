package org.fulmargap.standin;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.fulmargap.standin.LoopbackClient.Answer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the latency that an entry VM adds: the same one-stage request through an entry
 * VM and straight to the endpoint.
 */
@Command(name = "latency", mixinStandardHelpOptions = true,
		description = "Measures the latency that an entry VM adds to a one-stage request.")
final class LatencyCommand implements Callable<Integer> {

	private static final long HIGHEST_US = 60_000_000;

	private static final int MAX_CONCURRENT = 256;

	@Option(names = "--root", required = true, description = "Root of the repository.")
	private Path root;

	@Option(names = "--endpoint-ms", defaultValue = "50", description = "Time that the endpoint takes.")
	private long endpointMs;

	@Option(names = "--rounds", defaultValue = "20", description = "Requests per concurrent client.")
	private int rounds;

	@Option(names = "--least-count", defaultValue = "200", description = "Least number of requests per figure.")
	private int leastCount;

	private final AtomicInteger number = new AtomicInteger();

	@Override
	public Integer call() throws Exception {
		Path workFolder = Files.createTempDirectory("fulmargap-latency");
		EndpointOptions endpoint = new EndpointOptions("", 0, 512, 512, 512, 1_000, EndpointOptions.ColdOverload.FAIL,
				this.endpointMs, 0, 0, 16, 50);
		ClusterOptions options = new ClusterOptions(List.of("local"), 1, List.of("encoder"),
				List.of(this.root.resolve("bin/fulmargapd").toString()), this.root.resolve("config/latency"),
				workFolder, PlatformStandIn.Options.defaults(), endpoint);
		int failures = 0;
		try (Cluster cluster = new Cluster(options);
				LoopbackClient client = new LoopbackClient(Duration.ofSeconds(30), MAX_CONCURRENT)) {
			cluster.start();
			EntryVm vm = cluster.vms().get(0);
			cluster.patch(vm, cluster.firstPatch());
			String direct = cluster.endpointUrl("encoder-local") + "/v1/stages/encode";
			String entry = vm.callerUrl() + "/v1/pipelines/one-stage/requests";
			System.out.println("endpoint_ms=" + this.endpointMs);
			measure(client, direct, 32, "warm_up_direct");
			measure(client, entry, 32, "warm_up_entry");
			for (int concurrency : new int[] { 1, 32, MAX_CONCURRENT }) {
				Figures without = measure(client, direct, concurrency, "direct");
				Figures with = measure(client, entry, concurrency, "entry_vm");
				failures += without.failures() + with.failures();
				System.out.println("added concurrency=" + concurrency + " p50_us=" + (with.p50Us() - without.p50Us())
						+ " p99_us=" + (with.p99Us() - without.p99Us()));
			}
		}
		finally {
			System.out.println("work_folder=" + workFolder);
		}
		return (failures == 0) ? 0 : 1;
	}

	private Figures measure(LoopbackClient client, String url, int concurrency, String path) throws Exception {
		Histogram histogram = new ConcurrentHistogram(HIGHEST_US, 3);
		AtomicInteger failures = new AtomicInteger();
		int count = Math.max(this.leastCount, concurrency * this.rounds);
		AtomicInteger remaining = new AtomicInteger(count);
		CompletableFuture<?>[] clients = new CompletableFuture<?>[concurrency];
		for (int index = 0; index < concurrency; index++) {
			clients[index] = new CompletableFuture<Void>();
			next(new Run(client, url, histogram, failures, remaining), clients[index]);
		}
		CompletableFuture.allOf(clients).get(5, TimeUnit.MINUTES);
		Figures figures = new Figures(histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99),
				failures.get());
		System.out.println("path=" + path + " concurrency=" + concurrency + " count=" + count + " failures="
				+ figures.failures() + " p50_us=" + figures.p50Us() + " p99_us=" + figures.p99Us());
		return figures;
	}

	private void next(Run run, CompletableFuture<?> done) {
		if (run.remaining().getAndDecrement() <= 0) {
			done.complete(null);
			return;
		}
		int own = this.number.incrementAndGet();
		String input = "latency request " + own;
		long startNs = System.nanoTime();
		Map<String, String> headers = Map.of("Authorization", "Bearer " + Cluster.API_KEY, "Fulmargap-Attempt",
				"latency/" + own + "/0/0");
		Map<String, Object> body = run.url().endsWith("/requests") ? Map.of("input", input, "stream", false)
				: Map.of("request_id", "latency/" + own, "input", input, "max_tokens", 0, "start_index", 0);
		run.client().sendAsync("POST", run.url(), headers, body).whenComplete((answer, failure) -> {
			run.histogram().recordValue(Math.min(HIGHEST_US, (System.nanoTime() - startNs) / 1_000));
			if (!isRight(answer, input)) {
				run.failures().incrementAndGet();
			}
			next(run, done);
		});
	}

	private static boolean isRight(Answer answer, String input) {
		return answer != null && answer.status() == 200 && StageOutput.belongsTo(answer.body(), input);
	}

	/**
	 * State that the concurrent clients of one measurement share.
	 *
	 * @param client sends the requests
	 * @param url the target
	 * @param histogram the latencies in microseconds
	 * @param failures the number of requests without the right answer
	 * @param remaining the number of requests not yet sent
	 */
	private record Run(LoopbackClient client, String url, Histogram histogram, AtomicInteger failures,
			AtomicInteger remaining) {
	}

	/**
	 * Result of one measurement.
	 *
	 * @param p50Us the median in microseconds
	 * @param p99Us the 99th percentile in microseconds
	 * @param failures the number of requests without the right answer
	 */
	private record Figures(long p50Us, long p99Us, int failures) {
	}

}
