package org.fulmargap.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs stages with bounded concurrency, and queues the others in a bounded queue ordered
 * by priority, then by arrival.
 */
final class StageScheduler {

	private static final Logger logger = LoggerFactory.getLogger(StageScheduler.class);

	private final EndpointOptions options;

	private final ScheduledExecutorService timer;

	private final Supplier<EndpointFaults> faults;

	private final Executions executions;

	private final PrefixCache cache;

	private final Capacity capacity;

	private final PriorityQueue<StageRun> queue = new PriorityQueue<>();

	private final Map<StageRun, Runnable> held = new LinkedHashMap<>();

	private final Set<StageRun> running = new LinkedHashSet<>();

	StageScheduler(EndpointOptions options, ScheduledExecutorService timer, Supplier<EndpointFaults> faults,
			Executions executions) {
		this.options = options;
		this.timer = timer;
		this.faults = faults;
		this.executions = executions;
		this.cache = new PrefixCache(options.cacheBlocks());
		this.capacity = new Capacity(options.initialCapacity(), options.maxConcurrency(), options.doublingMs());
	}

	/**
	 * Starts a run if a slot is free, and otherwise queues it. A cold endpoint queues no
	 * runs.
	 * @param run the run
	 * @return whether the run was accepted, or why not
	 */
	synchronized Admission submit(StageRun run) {
		if (!this.capacity.isWarm() && this.running.size() >= this.capacity.current()) {
			this.executions.overloaded();
			return Admission.OVERLOADED;
		}
		if (this.running.size() < this.capacity.current()) {
			start(run);
			return Admission.ACCEPTED;
		}
		if (this.queue.size() >= this.options.maxQueue()) {
			return Admission.QUEUE_FULL;
		}
		this.queue.add(run);
		return Admission.ACCEPTED;
	}

	private void start(StageRun run) {
		run.state(StageRun.State.RUNNING);
		this.running.add(run);
		this.capacity.started(nowMs());
		this.executions.started(run.kind, run.attempt, run.key, this.running.size());
		String[] tokens = PrefixCache.promptTokens(run.body.input());
		int cached = this.cache.lookUpAndCache(tokens);
		double serviceMs = this.options.baseMs() + (tokens.length - cached) * this.options.promptUsPerToken() / 1_000.0;
		StageResponse response = new StageResponse(run, tokens.length, cached, this);
		schedule(() -> respondUnlessHeld(run, response::respond),
				run.faults.delayMs() + Math.round(serviceMs * run.faults.slowFactor()));
	}

	private void respondUnlessHeld(StageRun run, Runnable respond) {
		EndpointFaults current = this.faults.get();
		synchronized (this) {
			if (current.hold() && run.body.input().contains(current.match())) {
				this.held.put(run, respond);
				return;
			}
		}
		respond.run();
	}

	/** Continues the runs that were held by the fault {@code hold}. */
	void releaseHeld() {
		List<Runnable> released;
		synchronized (this) {
			released = List.copyOf(this.held.values());
			this.held.clear();
		}
		released.forEach(this.timer::execute);
	}

	void scheduleToken(StageRun run, Runnable token) {
		schedule(token, Math.round(this.options.tokenMs() * run.faults.slowFactor()));
	}

	private void schedule(Runnable task, long delayMs) {
		this.timer.schedule(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				logger.error("event=stage_task_failed", ex);
			}
		}, delayMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Releases the slot of a run and starts queued runs. Queued runs whose deadline has
	 * passed are refused.
	 * @param run a running run
	 * @return {@code false} if the run was cancelled and must get no response
	 */
	boolean finish(StageRun run) {
		List<StageRun> expired = new ArrayList<>();
		synchronized (this) {
			if (!this.running.remove(run)) {
				return false;
			}
			run.state(StageRun.State.FINISHED);
			this.capacity.finished(nowMs(), this.running.size());
			while (this.running.size() < this.capacity.current() && !this.queue.isEmpty()) {
				StageRun next = this.queue.poll();
				if (next.isExpired(nowMs())) {
					next.state(StageRun.State.CANCELLED);
					expired.add(next);
				}
				else {
					start(next);
				}
			}
		}
		expired.forEach((queued) -> StageResponse.refuse(queued.exchange, 503, "EXPIRED",
				"the deadline passed while the request was queued"));
		return true;
	}

	/**
	 * Cancels an attempt, unless it is an action that has started.
	 * @param attempt the id of the attempt
	 * @return {@code true} if the attempt was running or queued and is now cancelled
	 */
	boolean cancel(String attempt) {
		StageRun queued;
		StageRun started = null;
		synchronized (this) {
			queued = findAttempt(this.queue, attempt);
			if (queued != null) {
				this.queue.remove(queued);
				queued.state(StageRun.State.CANCELLED);
			}
			else {
				started = findAttempt(this.running, attempt);
				if (started != null && !started.kind.equals("action")) {
					this.held.remove(started);
					started.state(StageRun.State.CANCELLED);
				}
				else {
					started = null;
				}
			}
		}
		if (queued != null) {
			StageResponse.refuse(queued.exchange, 503, "CANCELLED", "cancelled before it ran");
			return true;
		}
		if (started != null) {
			finish(started);
			started.exchange.abort();
			return true;
		}
		return false;
	}

	private static StageRun findAttempt(Iterable<StageRun> runs, String attempt) {
		for (StageRun run : runs) {
			if (run.attempt.equals(attempt)) {
				return run;
			}
		}
		return null;
	}

	synchronized void becomeCold() {
		this.capacity.becomeCold();
		this.cache.clear();
	}

	/** Discards all runs and becomes cold, as after a restart. */
	synchronized void crash() {
		this.running.forEach((run) -> run.state(StageRun.State.CANCELLED));
		this.queue.forEach((run) -> run.state(StageRun.State.CANCELLED));
		this.running.clear();
		this.queue.clear();
		this.held.clear();
		becomeCold();
	}

	synchronized Load load(String incarnation) {
		List<String> attempts = new ArrayList<>();
		this.running.forEach((run) -> attempts.add(run.attempt));
		this.queue.forEach((run) -> attempts.add(run.attempt));
		return new Load(incarnation, this.running.size(), this.queue.size(), this.capacity.current(), nowMs(),
				attempts);
	}

	private static long nowMs() {
		return System.currentTimeMillis();
	}

	/**
	 * Results of {@link #submit}.
	 */
	enum Admission {

		/** The run was started or queued. */
		ACCEPTED,

		/** The run was rejected because the queue is full. */
		QUEUE_FULL,

		/** The run was rejected because the endpoint is cold and at its capacity. */
		OVERLOADED

	}

	/**
	 * Response body of {@code GET /v1/load}.
	 *
	 * @param incarnation the incarnation of the endpoint
	 * @param inFlight the number of running requests
	 * @param queued the number of queued requests
	 * @param capacity the current capacity, the number of requests that may run at the
	 * same time
	 * @param reportedAtMs when the load was sampled, in milliseconds since the epoch
	 * @param attempts the attempts that are running or queued
	 */
	record Load(@JsonProperty("incarnation") String incarnation, @JsonProperty("in_flight") int inFlight,
			@JsonProperty("queued") int queued, @JsonProperty("capacity") int capacity,
			@JsonProperty("reported_at_ms") long reportedAtMs, @JsonProperty("attempts") List<String> attempts) {
	}

}
