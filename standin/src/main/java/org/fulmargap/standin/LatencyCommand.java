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
 * Measures the latency that an entry VM adds, by sending the same one-stage request
 * through an entry VM and directly to the endpoint.
 */
@Command(name = "latency", mixinStandardHelpOptions = true,
		description = "Measures the latency that an entry VM adds to a one-stage request.")
final class LatencyCommand implements Callable<Integer> {

	private static final long MAX_LATENCY_US = 60_000_000;

	private static final int MAX_CONCURRENCY = 256;

	@Option(names = "--root", required = true, description = "Root of the repository.")
	private Path root;

	@Option(names = "--endpoint-ms", defaultValue = "50", description = "Duration of a request at the endpoint.")
	private long endpointMs;

	@Option(names = "--rounds", defaultValue = "20", description = "Requests per concurrent client.")
	private int rounds;

	@Option(names = "--least-count", defaultValue = "200", description = "Minimum number of requests per measurement.")
	private int minCount;

	private final AtomicInteger number = new AtomicInteger();

	@Override
	public Integer call() throws Exception {
		Path workDirectory = Files.createTempDirectory("fulmargap-latency");
		EndpointOptions endpoint = new EndpointOptions("", 0, 512, 512, 512, 1_000, EndpointOptions.ColdOverload.FAIL,
				this.endpointMs, 0, 0, 16, 50);
		ClusterOptions options = new ClusterOptions(List.of("local"), 1, List.of("encoder"),
				List.of(this.root.resolve("bin/fulmargapd").toString()), this.root.resolve("config/latency"),
				workDirectory, PlatformStandIn.Options.defaults(), endpoint);
		int failures = 0;
		try (Cluster cluster = new Cluster(options);
				LoopbackClient client = new LoopbackClient(Duration.ofSeconds(30), MAX_CONCURRENCY)) {
			cluster.start();
			EntryVm vm = cluster.vms().get(0);
			cluster.patch(vm, cluster.firstPatch());
			String direct = cluster.endpointUrl("encoder-local") + "/v1/stages/encode";
			String entry = vm.callerUrl() + "/v1/pipelines/one-stage/requests";
			System.out.println("endpoint_ms=" + this.endpointMs);
			measure(client, direct, 32, "warm_up_direct");
			measure(client, entry, 32, "warm_up_entry");
			for (int concurrency : new int[] { 1, 32, MAX_CONCURRENCY }) {
				Result directResult = measure(client, direct, concurrency, "direct");
				Result entryVmResult = measure(client, entry, concurrency, "entry_vm");
				failures += directResult.failures() + entryVmResult.failures();
				System.out.println(
						"added concurrency=" + concurrency + " p50_us=" + (entryVmResult.p50Us() - directResult.p50Us())
								+ " p99_us=" + (entryVmResult.p99Us() - directResult.p99Us()));
			}
		}
		finally {
			System.out.println("work_folder=" + workDirectory);
		}
		return (failures == 0) ? 0 : 1;
	}

	private Result measure(LoopbackClient client, String url, int concurrency, String path) throws Exception {
		Histogram histogram = new ConcurrentHistogram(MAX_LATENCY_US, 3);
		AtomicInteger failures = new AtomicInteger();
		int count = Math.max(this.minCount, concurrency * this.rounds);
		AtomicInteger remaining = new AtomicInteger(count);
		CompletableFuture<?>[] clients = new CompletableFuture<?>[concurrency];
		for (int index = 0; index < concurrency; index++) {
			clients[index] = new CompletableFuture<Void>();
			sendNext(new Measurement(client, url, histogram, failures, remaining), clients[index]);
		}
		CompletableFuture.allOf(clients).get(5, TimeUnit.MINUTES);
		Result result = new Result(histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99),
				failures.get());
		System.out.println("path=" + path + " concurrency=" + concurrency + " count=" + count + " failures="
				+ result.failures() + " p50_us=" + result.p50Us() + " p99_us=" + result.p99Us());
		return result;
	}

	private void sendNext(Measurement measurement, CompletableFuture<?> done) {
		if (measurement.remaining().getAndDecrement() <= 0) {
			done.complete(null);
			return;
		}
		int requestNumber = this.number.incrementAndGet();
		String input = "latency request " + requestNumber;
		long startNs = System.nanoTime();
		Map<String, String> headers = Map.of("Authorization", "Bearer " + Cluster.API_KEY, "Fulmargap-Attempt",
				"latency/" + requestNumber + "/0/0");
		Map<String, Object> body = measurement.url().endsWith("/requests") ? Map.of("input", input, "stream", false)
				: Map.of("request_id", "latency/" + requestNumber, "input", input, "max_tokens", 0, "start_index", 0);
		measurement.client().sendAsync("POST", measurement.url(), headers, body).whenComplete((answer, failure) -> {
			measurement.histogram().recordValue(Math.min(MAX_LATENCY_US, (System.nanoTime() - startNs) / 1_000));
			if (!isCorrect(answer, input)) {
				measurement.failures().incrementAndGet();
			}
			sendNext(measurement, done);
		});
	}

	private static boolean isCorrect(Answer answer, String input) {
		return answer != null && answer.status() == 200 && StageOutput.belongsTo(answer.body(), input);
	}

	/**
	 * State shared by the concurrent clients of one measurement.
	 *
	 * @param client the HTTP client
	 * @param url the target of the requests
	 * @param histogram the latencies in microseconds
	 * @param failures the number of requests without a correct response
	 * @param remaining the number of requests not yet sent
	 */
	private record Measurement(LoopbackClient client, String url, Histogram histogram, AtomicInteger failures,
			AtomicInteger remaining) {
	}

	/**
	 * Result of a measurement.
	 *
	 * @param p50Us the median latency in microseconds
	 * @param p99Us the 99th percentile of the latency in microseconds
	 * @param failures the number of requests without a correct response
	 */
	private record Result(long p50Us, long p99Us, int failures) {
	}

}
