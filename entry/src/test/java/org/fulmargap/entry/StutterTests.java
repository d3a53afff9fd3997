package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.ResultLedger;
import org.fulmargap.platform.standin.StutteringStageStandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests and work items that are given results of others because a stage
 * endpoint wrote an answer again, late.
 */
class StutterTests {

	/** Seeds to run, as {@code FIRST-LAST} and single ones; by default a few. */
	private static final String SEEDS = System.getProperty("stutter.seeds", "1,7,13");

	private static final int VMS = 3;

	private static final int CALLERS = 24;

	private static final int ENDPOINTS = 4;

	private static final int EVENTS = 5;

	private static final int RUN_MS = 2_000;

	private static final int RETRY_MS = 50;

	private static final String TIME_LEFT_MS = "1500";

	private static final int MAX_SHOWN_MISTAKES = 2;

	/** The smallest share of requests that must be served. */
	private static final double MIN_SERVED_SHARE = 0.25;

	static LongStream seeds() {
		return Arrays.stream(SEEDS.split(",")).flatMapToLong((part) -> {
			String[] range = part.split("-");
			return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
		});
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void lateCopiesOfAnswersDoNotMixRequests(long seed) throws Exception {
		try (Run run = new Run(seed, StutteringStageStandIn.Mode.STUTTERS)) {
			run.play();
			run.verify();
		}
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void endpointsThatUseHandlesAgainAfterARestartDoNotMixRequests(long seed) throws Exception {
		try (Run run = new Run(seed, StutteringStageStandIn.Mode.REUSES_HANDLES)) {
			run.play();
			run.verify();
		}
	}

	/**
	 * Two seconds of requests with the faults of one seed.
	 */
	private static final class Run implements AutoCloseable {

		private final long seed;

		private final StutteringStageStandIn.Mode mode;

		private final ResultLedger results = new ResultLedger();

		private final Installation installation = new Installation();

		private final List<StutteringStageStandIn> stages = new ArrayList<>();

		private final List<String> services = new ArrayList<>();

		private final ExecutorService threads = Executors.newCachedThreadPool();

		private final AtomicInteger sent = new AtomicInteger();

		private final AtomicInteger served = new AtomicInteger();

		private final AtomicInteger unanswered = new AtomicInteger();

		private Run(long seed, StutteringStageStandIn.Mode mode) throws Exception {
			this.seed = seed;
			this.mode = mode;
			this.installation.store().put(CallerWire.OPERATOR_TOPIC, "config", CallerWire.threeStages());
			for (String service : List.of("stage", "depot")) {
				for (int i = 0; i < ENDPOINTS; i++) {
					startStage(service, i);
				}
			}
			EndpointStandIn engine = this.installation.endpoint("pool-1", "pool");
			engine.workMs(2);
			engine.inputCheck(this::hasInputs);
			this.installation.retries(1, 1_000);
			for (int i = 0; i < VMS; i++) {
				this.installation.vm("vm-" + i);
			}
			this.installation.awaitReady();
		}

		private void startStage(String service, int number) throws IOException {
			long ownSeed = this.seed * 100 + this.stages.size();
			StutteringStageStandIn stage = new StutteringStageStandIn(service + number, Installation.freePort(),
					this.results, ownSeed, this.mode);
			this.stages.add(stage);
			this.services.add(service);
			register(stage, service);
		}

		private void register(StutteringStageStandIn stage, String service) {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, stage.id(), stage.record(service));
		}

		private boolean hasInputs(Map<String, String> headers) {
			String attemptId = headers.get(CallerWire.ATTEMPT_ID.toLowerCase(java.util.Locale.ROOT));
			List<String> handles = Arrays.asList(headers.getOrDefault(CallerWire.INPUTS, "").split(","));
			return this.results.check("request " + attemptId, attemptId, List.of(1, 2), handles);
		}

		private void play() throws Exception {
			long endAtMs = System.currentTimeMillis() + RUN_MS;
			List<Future<?>> running = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				Random random = new Random(this.seed * 1_000 + i);
				running.add(this.threads.submit(repeat(endAtMs, () -> call(random))));
			}
			Random random = new Random(this.seed);
			Thread.sleep(300 + random.nextInt(300));
			restartStage(random);
			Thread.sleep(100 + random.nextInt(300));
			this.installation.restart(random.nextInt(VMS));
			Thread.sleep(100 + random.nextInt(300));
			restartStage(random);
			for (Future<?> future : running) {
				future.get();
			}
		}

		private static Callable<Void> repeat(long endAtMs, Callable<Void> action) {
			return () -> {
				while (System.currentTimeMillis() < endAtMs) {
					action.call();
				}
				return null;
			};
		}

		private void restartStage(Random random) throws Exception {
			int number = random.nextInt(this.stages.size());
			StutteringStageStandIn stage = this.stages.get(number);
			String oldId = stage.id();
			stage.crash();
			Thread.sleep(random.nextInt(200));
			stage.restart();
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, oldId, "");
			register(stage, this.services.get(number));
		}

		private Void call(Random random) throws InterruptedException {
			List<Integer> counts = List.of(1 + random.nextInt(5), 1 + random.nextInt(5), 1 + random.nextInt(5));
			String attemptId = "s" + this.seed + '-' + this.sent.incrementAndGet();
			this.results.request(attemptId, counts);
			HttpRequest.Builder request = this.installation.pipeline(random.nextInt(VMS))
				.setHeader(CallerWire.ATTEMPT_ID, attemptId)
				.setHeader(CallerWire.TIME_LEFT_MS, TIME_LEFT_MS)
				.setHeader(CallerWire.ITEM_COUNTS, counts.get(0) + "," + counts.get(1) + ',' + counts.get(2));
			try {
				HttpResponse<String> response = this.installation.send(request);
				if (response.statusCode() == 200) {
					assertThat(response.headers().firstValue(CallerWire.ATTEMPT_ID)).contains(attemptId);
					assertThat(response.body().split("\n\n")).hasSize(EVENTS);
					this.served.incrementAndGet();
					return null;
				}
			}
			catch (IOException ex) {
				// The VM was restarted meanwhile.
				this.unanswered.incrementAndGet();
			}
			Thread.sleep(RETRY_MS);
			return null;
		}

		private void verify() {
			int copies = this.stages.stream().mapToInt(StutteringStageStandIn::copies).sum();
			String summary = "seed " + this.seed + ": " + this.sent + " requests, " + this.served + " served, "
					+ this.unanswered + " unanswered, " + copies + " copies, " + this.results.mistakes().size()
					+ " mistakes";
			System.out.println(summary);
			assertThat(this.results.mistakes()).as(() -> summary + '\n' + transcripts()).isEmpty();
			assertThat(copies > 0).as(summary).isEqualTo(this.mode == StutteringStageStandIn.Mode.STUTTERS);
			assertThat(this.served.get()).as(summary)
				.isGreaterThanOrEqualTo((int) (this.sent.get() * MIN_SERVED_SHARE));
		}

		private String transcripts() {
			List<String> lines = new ArrayList<>();
			this.results.mistakes().stream().limit(MAX_SHOWN_MISTAKES).forEach((mistake) -> {
				lines.add(mistake.toString());
				for (ResultLedger.Origin origin : mistake.origins()) {
					this.stages.forEach((stage) -> lines.addAll(stage.transcript(origin)));
				}
			});
			return String.join("\n", lines);
		}

		@Override
		public void close() throws IOException {
			this.threads.shutdownNow();
			this.installation.close();
			for (StutteringStageStandIn stage : this.stages) {
				stage.close();
			}
		}

	}

}
