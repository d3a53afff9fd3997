package org.fulmargap.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;

import org.fulmargap.platform.standin.AnswerLedger;
import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.SecondAnswerStandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers to plain requests and streams that are of another request, of
 * another status or not whole, because an endpoint wrote a second answer or broke off. A
 * seed fixes what the endpoints and callers draw, but not the timing. The system property
 * {@code second.seeds} sets the seeds, for example {@code 1-50}.
 */
class SecondAnswerTests {

	private static final String SEEDS = System.getProperty("second.seeds", "1,2,3");

	private static final int VMS = 3;

	private static final int CALLERS = 16;

	private static final int PLAIN_ENDPOINTS = 4;

	private static final int STREAM_ENDPOINTS = 2;

	private static final int RUN_MS = 2_000;

	private static final int RESTARTS = 3;

	/** How long a caller waits after an answer that is no success. */
	private static final int RETRY_MS = 10;

	/** Longer than an endpoint delays a second answer and than it runs a request. */
	private static final int QUIET_MS = 100;

	private static final int MAX_SHOWN_MISTAKES = 3;

	/** The smallest share of requests that must be served. */
	private static final double MIN_SERVED_SHARE = 0.25;

	/** The runs that were played, each of which serves several checks. */
	private static final Map<Long, Run> RUNS = new HashMap<>();

	static LongStream seeds() {
		return Arrays.stream(SEEDS.split(",")).flatMapToLong((part) -> {
			String[] range = part.split("-");
			return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
		});
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void secondAnswersDoNotMixRequests(long seed) throws Exception {
		Run run = run(seed);
		assertThat(run.mistakes).as(() -> run.summary + '\n' + run.details(run.mistakes)).isEmpty();
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void secondAnswersDoNotKeepRequestsFromAnswers(long seed) throws Exception {
		Run run = run(seed);
		assertThat(run.late).as(() -> run.summary + '\n' + run.details(run.late)).isEmpty();
		assertThat(run.secondAnswers).as(run.summary).isPositive();
		assertThat(run.served.get()).as(run.summary).isGreaterThanOrEqualTo((int) (run.sent.get() * MIN_SERVED_SHARE));
	}

	private static Run run(long seed) throws Exception {
		if (!RUNS.containsKey(seed)) {
			try (Run run = new Run(seed)) {
				run.play();
				run.finish();
				RUNS.put(seed, run);
			}
		}
		return RUNS.get(seed);
	}

	/**
	 * Two seconds of requests with the faults of one seed.
	 */
	private static final class Run implements AutoCloseable {

		private final long seed;

		private final AnswerLedger ledger = new AnswerLedger();

		private final AnswerCheck check = new AnswerCheck(this.ledger);

		private final Installation installation = new Installation();

		private final List<SecondAnswerStandIn> endpoints = new ArrayList<>();

		private final ExecutorService threads = Executors.newCachedThreadPool();

		private final ProcessStalls stalls = new ProcessStalls();

		private final AtomicInteger sent = new AtomicInteger();

		private final AtomicInteger served = new AtomicInteger();

		private final Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();

		private Map<String, String> mistakes;

		private Map<String, String> late;

		private int secondAnswers;

		private String summary;

		private Run(long seed) throws Exception {
			this.seed = seed;
			this.installation.store().put(CallerWire.OPERATOR_TOPIC, "config", CallerMethod.config());
			for (int i = 0; i < PLAIN_ENDPOINTS + STREAM_ENDPOINTS; i++) {
				SecondAnswerStandIn endpoint = new SecondAnswerStandIn(service(i) + i, Installation.freePort(),
						this.ledger, seed * 100 + i);
				this.endpoints.add(endpoint);
				register(i);
			}
			this.installation.retries(1, 1_000);
			for (int i = 0; i < VMS; i++) {
				this.installation.vm("vm-" + i);
			}
			this.installation.awaitReady();
		}

		private static String service(int endpoint) {
			return (endpoint < PLAIN_ENDPOINTS) ? "core" : "pool";
		}

		private void register(int number) {
			SecondAnswerStandIn endpoint = this.endpoints.get(number);
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, endpoint.id(), endpoint.record(service(number)));
		}

		private void play() throws Exception {
			long endAtMs = System.currentTimeMillis() + RUN_MS;
			List<Future<?>> running = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				Random random = new Random(this.seed * 1_000 + i);
				running.add(this.threads.submit(() -> {
					call(endAtMs, random);
					return null;
				}));
			}
			Random random = new Random(this.seed);
			for (int i = 0; i < RESTARTS; i++) {
				Thread.sleep(200 + random.nextInt(300));
				restartEndpoint(random);
			}
			for (Future<?> future : running) {
				future.get();
			}
			Thread.sleep(QUIET_MS);
		}

		private void restartEndpoint(Random random) throws Exception {
			int number = random.nextInt(this.endpoints.size());
			SecondAnswerStandIn endpoint = this.endpoints.get(number);
			String oldId = endpoint.id();
			endpoint.crash();
			Thread.sleep(random.nextInt(100));
			endpoint.restart();
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, oldId, "");
			register(number);
		}

		private void call(long endAtMs, Random random) throws Exception {
			while (System.currentTimeMillis() < endAtMs) {
				try (KeptConnection connection = new KeptConnection(
						this.installation.callerAddress(random.nextInt(VMS)))) {
					callUntilClosed(connection, endAtMs, random);
				}
			}
		}

		private void callUntilClosed(KeptConnection connection, long endAtMs, Random random) throws Exception {
			boolean open = true;
			while (open && System.currentTimeMillis() < endAtMs) {
				CallerMethod method = CallerMethod.draw(random);
				String attemptId = "s" + this.seed + '-' + this.sent.incrementAndGet();
				this.check.sent(attemptId, method);
				ReceivedAnswer answer = connection.exchange(method.request(attemptId), method,
						AnswerCheck.timeoutMs(method));
				this.check.received(attemptId, method, answer);
				count(method, answer);
				if (!answer.isSuccess()) {
					Thread.sleep(RETRY_MS);
				}
				open = answer.keepsConnection();
				if (open) {
					this.check.unasked(attemptId, connection.unaskedBytes());
				}
			}
		}

		private void count(CallerMethod method, ReceivedAnswer answer) {
			boolean whole = answer.isSuccess() && answer.isComplete();
			if (whole) {
				this.served.incrementAndGet();
			}
			String outcome = (answer.isComplete()) ? "" : " " + answer.end();
			this.outcomes.computeIfAbsent(method + " " + answer.status() + outcome, (key) -> new AtomicInteger())
				.incrementAndGet();
		}

		private void finish() {
			this.check.checkRuns();
			this.mistakes = this.check.mistakes();
			this.late = this.check.late();
			this.secondAnswers = this.endpoints.stream().mapToInt(SecondAnswerStandIn::secondAnswers).sum();
			this.summary = "seed " + this.seed + ": " + this.sent + " requests, " + this.served + " served, "
					+ this.secondAnswers + " second answers, " + this.mistakes.size() + " mistakes, " + this.late.size()
					+ " late, longest stall of the process " + this.stalls.longestMs() + " ms; " + this.outcomes;
			System.out.println(this.summary);
		}

		private String details(Map<String, String> mistakes) {
			List<String> lines = new ArrayList<>();
			mistakes.entrySet().stream().limit(MAX_SHOWN_MISTAKES).forEach((mistake) -> {
				lines.add("request " + mistake.getKey() + ": " + mistake.getValue());
				lines.addAll(this.ledger.transcript(mistake.getKey()));
			});
			return String.join("\n", lines);
		}

		@Override
		public void close() throws IOException {
			this.stalls.close();
			this.threads.shutdownNow();
			this.installation.close();
			for (SecondAnswerStandIn endpoint : this.endpoints) {
				endpoint.close();
			}
		}

	}

}
