package org.fulmargap.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.HdrHistogram.Histogram;
import org.fulmargap.standin.LoopbackClient.Answer;

/**
 * Open-loop load generator: the start times of requests do not depend on responses, and
 * latency counts from the planned start time.
 */
public final class LoadTool {

	private static final Set<String> NOT_RUN = Set.of("MALFORMED_REQUEST", "UNAUTHENTICATED", "UNKNOWN_PIPELINE",
			"BODY_TOO_LARGE", "KEY_REQUIRED", "KEY_INVALID", "KEY_CONFLICT", "OVERLOADED", "NOT_RUN");

	/** Time for which the client waits for a response after the deadline. */
	private static final long RESPONSE_GRACE_MS = 3_000;

	private static final long MAX_LATENCY_US = 600_000_000;

	private final LoadOptions options;

	private final LoopbackClient client;

	private final Histogram latencyUs = new Histogram(MAX_LATENCY_US, 3);

	private final Map<String, Integer> errorTypes = new TreeMap<>();

	private final Set<String> notRunKeys = new HashSet<>();

	private final Set<String> answeredKeys = new HashSet<>();

	private int answered;

	private int late;

	private int crossed;

	private int notRun;

	private int unknown;

	private int failed;

	private int lost;

	private int resent;

	/**
	 * Creates a load generator for one run.
	 * @param options the targets, rate and mix of requests
	 */
	public LoadTool(LoadOptions options) {
		this.options = options;
		this.client = new LoopbackClient(Duration.ofMillis(options.deadlineMs() + RESPONSE_GRACE_MS),
				options.maxInFlight());
	}

	/**
	 * Sends the requests, waits for all responses and compares them with the executions
	 * at the endpoints.
	 * @return the result
	 * @throws IOException if an endpoint does not report its executions
	 * @throws InterruptedException if the thread is interrupted
	 */
	public LoadResult run() throws IOException, InterruptedException {
		try (this.client) {
			Random random = new Random(this.options.seed());
			Semaphore slots = new Semaphore(this.options.maxInFlight());
			long startNs = System.nanoTime();
			long endNs = startNs + TimeUnit.SECONDS.toNanos(this.options.maxSeconds());
			double plannedNs = startNs;
			int sent = 0;
			int notSent = 0;
			int actions = 0;
			for (int number = 0; number < this.options.maxCount(); number++) {
				plannedNs += -Math.log(1 - random.nextDouble()) * 1e9 / this.options.ratePerSecond();
				boolean action = random.nextDouble() < this.options.actionShare();
				int entry = random.nextInt(this.options.entryUrls().size());
				if (plannedNs > endNs) {
					break;
				}
				sleepUntil((long) plannedNs);
				if (!slots.tryAcquire()) {
					notSent++;
					continue;
				}
				sent++;
				actions += action ? 1 : 0;
				PlannedRequest planned = new PlannedRequest(number, action, entry, (long) plannedNs);
				send(planned, entry).whenComplete((ignored, failure) -> slots.release());
			}
			slots.acquire(this.options.maxInFlight());
			return result(sent, notSent, actions);
		}
	}

	private static void sleepUntil(long plannedNs) {
		long remaining = plannedNs - System.nanoTime();
		while (remaining > 0) {
			LockSupport.parkNanos(remaining);
			remaining = plannedNs - System.nanoTime();
		}
	}

	private CompletableFuture<?> send(PlannedRequest planned, int entry) {
		return call(planned, entry).handle((answer, failure) -> {
			if (answer != null) {
				return CompletableFuture.completedFuture(answer);
			}
			if (!planned.action()) {
				return CompletableFuture.<Answer>failedFuture(failure);
			}
			synchronized (this) {
				this.resent++;
			}
			return call(planned, (entry + 1) % this.options.entryUrls().size());
		}).thenCompose((future) -> future).handle((answer, failure) -> {
			record(planned, answer);
			return null;
		});
	}

	private CompletableFuture<Answer> call(PlannedRequest planned, int entry) {
		Map<String, String> headers = new HashMap<>();
		headers.put("Authorization", "Bearer " + this.options.apiKey());
		headers.put("Fulmargap-Deadline-Ms", Long.toString(this.options.deadlineMs()));
		if (planned.action()) {
			headers.put("Idempotency-Key", key(planned.number()));
		}
		String pipeline = planned.action() ? this.options.actionPipeline() : this.options.readPipeline();
		return this.client.sendAsync("POST",
				this.options.entryUrls().get(entry) + "/v1/pipelines/" + pipeline + "/requests", headers,
				Map.of("input", input(planned.number()), "stream", false));
	}

	private String key(int number) {
		return this.options.runId() + "-" + number;
	}

	private String input(int number) {
		return "request " + this.options.runId() + " " + number;
	}

	private synchronized void record(PlannedRequest planned, Answer answer) {
		if (answer == null) {
			this.lost++;
			return;
		}
		long durationUs = (System.nanoTime() - planned.plannedNs()) / 1_000;
		this.latencyUs.recordValue(Math.min(durationUs, MAX_LATENCY_US));
		if (answer.status() == 200) {
			recordOutput(planned, answer, durationUs);
			return;
		}
		String type = answer.errorType();
		this.errorTypes.merge(type.isEmpty() ? "HTTP_" + answer.status() : type, 1, Integer::sum);
		if (NOT_RUN.contains(type)) {
			this.notRun++;
			if (planned.action()) {
				this.notRunKeys.add(key(planned.number()));
			}
		}
		else if (type.equals("OUTCOME_UNKNOWN")) {
			this.unknown++;
		}
		else {
			this.failed++;
		}
	}

	private void recordOutput(PlannedRequest planned, Answer answer, long durationUs) {
		String output;
		try {
			output = answer.json().path("output").asText();
		}
		catch (IOException ex) {
			output = "";
		}
		if (!StageOutput.belongsTo(output, input(planned.number()))) {
			this.crossed++;
			return;
		}
		this.answered++;
		this.late += (durationUs > this.options.deadlineMs() * 1_000) ? 1 : 0;
		if (planned.action()) {
			this.answeredKeys.add(key(planned.number()));
		}
	}

	private LoadResult result(int sent, int notSent, int actions) throws IOException {
		Map<String, Integer> executed = executions();
		int falseNotRun = (int) this.notRunKeys.stream().filter(executed::containsKey).count();
		int answeredNotExecuted = this.options.endpointUrls().isEmpty() ? 0
				: (int) this.answeredKeys.stream().filter((key) -> !executed.containsKey(key)).count();
		int doubled = (int) executed.values().stream().filter((count) -> count > 1).count();
		return new LoadResult(sent, notSent, actions, this.answered, this.late, this.crossed, this.notRun, this.unknown,
				this.failed, this.lost, this.resent, executed.size(), doubled, falseNotRun, answeredNotExecuted,
				this.latencyUs.getValueAtPercentile(50) / 1_000, this.latencyUs.getValueAtPercentile(99) / 1_000,
				this.errorTypes);
	}

	/**
	 * Counts the executions of the idempotency keys of this run at all endpoints.
	 * @return the number of executions per key
	 * @throws IOException if an endpoint does not respond
	 */
	private Map<String, Integer> executions() throws IOException {
		Map<String, Integer> executed = new HashMap<>();
		List<String> urls = new ArrayList<>(this.options.endpointUrls());
		for (String url : urls) {
			JsonNode keys = this.client.send("GET", url + "/control/executions?attempts=false", null)
				.json()
				.path("keys");
			keys.properties().forEach((entry) -> {
				String key = entry.getKey();
				int start = key.indexOf(this.options.runId() + "-");
				if (start >= 0) {
					executed.merge(key.substring(start), entry.getValue().asInt(), Integer::sum);
				}
			});
		}
		return executed;
	}

	/**
	 * Request of the run.
	 *
	 * @param number the number of the request
	 * @param action whether the request is non-idempotent
	 * @param entry the index of the entry VM that receives it first
	 * @param plannedNs the planned start time, as of {@link System#nanoTime()}
	 */
	private record PlannedRequest(int number, boolean action, int entry, long plannedNs) {
	}

}
