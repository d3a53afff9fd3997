package org.fulmargap.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmargap.bench.Workload.Request;
import org.fulmargap.config.EndpointSpec;
import org.fulmargap.routing.CallFailure;
import org.fulmargap.routing.LoadReport;

/**
 * Simulated endpoint with bounded concurrency, a bounded queue, a bounded prefix cache
 * and a warm-up. The capacity of a cold endpoint starts at one call and doubles with each
 * 1,500 ms in which it runs calls. A call that arrives during the warm-up, when three
 * times the current capacity is running or queued, fails and restarts the warm-up.
 */
final class FakeEndpoint {

	private static final int MAX_CACHED_PREFIXES = 6;

	private static final long WARM_UP_DOUBLING_MS = 1_500;

	private static final long OVERLOAD_FAILURE_DELAY_MS = 200;

	private static final long CRASH_DELAY_MS = 50;

	private static final long RESTART_DELAY_MS = 3_000;

	private final VirtualClock clock;

	private final String name;

	private final EndpointSpec spec;

	private final RunStatistics statistics;

	private final Deque<Call> queue = new ArrayDeque<>();

	private final Set<Call> running = new LinkedHashSet<>();

	private final LinkedHashMap<String, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);

	private int incarnation;

	private boolean up = true;

	private long activeMs = Long.MAX_VALUE / 2;

	private long activityUpdatedMs;

	private int slowdownFactor = 1;

	private boolean losesAnswers;

	FakeEndpoint(VirtualClock clock, String name, EndpointSpec spec, RunStatistics statistics) {
		this.clock = clock;
		this.name = name;
		this.spec = spec;
		this.statistics = statistics;
	}

	String name() {
		return this.name;
	}

	EndpointSpec spec() {
		return this.spec;
	}

	String incarnation() {
		return this.name + "/" + this.incarnation;
	}

	void setSlowdownFactor(int slowdownFactor) {
		this.slowdownFactor = slowdownFactor;
	}

	void setLosesAnswers(boolean losesAnswers) {
		this.losesAnswers = losesAnswers;
	}

	// Restarts the warm-up and clears the prefix cache, without a new incarnation.
	void becomeCold() {
		updateActivity();
		this.activeMs = 0;
		this.cache.clear();
	}

	void stop() {
		this.up = false;
		List<Call> interrupted = new ArrayList<>(this.running);
		interrupted.addAll(this.queue);
		this.queue.clear();
		for (Call call : interrupted) {
			release(call);
			call.listener.failed(CallFailure.CONNECTION_LOST);
		}
	}

	void start() {
		this.up = true;
		this.incarnation++;
		becomeCold();
	}

	private int capacity() {
		updateActivity();
		return (int) Math.min(this.spec.maxConcurrency(),
				Math.pow(2, Math.min(30, this.activeMs / WARM_UP_DOUBLING_MS)));
	}

	private void updateActivity() {
		if (!this.running.isEmpty()) {
			this.activeMs += this.clock.nowMs() - this.activityUpdatedMs;
		}
		this.activityUpdatedMs = this.clock.nowMs();
	}

	// Returns a load report, or null if the endpoint is down.
	LoadReport loadReport() {
		return (this.up) ? new LoadReport(incarnation(), this.running.size(), this.queue.size(), capacity(),
				this.clock.nowMs(), List.of()) : null;
	}

	/**
	 * Queues a call, or lets it fail if the endpoint is down or overloaded.
	 * @param request the request
	 * @param listener receives the result once, unless the call is cancelled
	 * @return the call, which can be passed to {@link #cancel}
	 */
	Call submit(Request request, Listener listener) {
		Call call = new Call(request, listener);
		if (!this.up) {
			this.clock.scheduleAfter(1, () -> complete(call, () -> listener.failed(CallFailure.CONNECT_FAILED)));
		}
		else if (this.queue.size() >= 2 * this.spec.maxConcurrency()) {
			this.clock.scheduleAfter(1, () -> complete(call, () -> listener.failed(CallFailure.REJECTED)));
		}
		else if (capacity() < this.spec.maxConcurrency() && this.running.size() + this.queue.size() >= 3 * capacity()) {
			this.activeMs = 0;
			this.clock.scheduleAfter(OVERLOAD_FAILURE_DELAY_MS,
					() -> complete(call, () -> listener.failed(CallFailure.ERROR_STATUS)));
		}
		else {
			this.queue.add(call);
			startQueuedCalls();
		}
		return call;
	}

	void cancel(Call call) {
		call.ended = true;
		this.queue.remove(call);
		release(call);
	}

	private void startQueuedCalls() {
		while (this.up && !this.queue.isEmpty() && this.running.size() < capacity()) {
			execute(this.queue.poll());
		}
	}

	private void execute(Call call) {
		updateActivity();
		this.running.add(call);
		call.startedMs = this.clock.nowMs();
		boolean hasPrompt = this.spec.service().equals("generate");
		int cachedPrefixTokens = 0;
		if (hasPrompt) {
			cachedPrefixTokens = (this.cache.containsKey(call.request.prefix())) ? call.request.prefixTokens() : 0;
			this.cache.put(call.request.prefix(), Boolean.TRUE);
			if (this.cache.size() > MAX_CACHED_PREFIXES) {
				Map.Entry<String, Boolean> eldest = this.cache.entrySet().iterator().next();
				this.cache.remove(eldest.getKey());
			}
			this.statistics.addTokens(call.request.promptTokens() - cachedPrefixTokens + call.request.outputTokens());
		}
		this.statistics.recordExecution(call.request, this.spec.service());
		if (hasPrompt && call.request.crashes()) {
			this.clock.scheduleAfter(CRASH_DELAY_MS, () -> {
				if (this.up && !call.ended) {
					this.statistics.recordCrash();
					stop();
					this.clock.scheduleAfter(RESTART_DELAY_MS, this::start);
				}
			});
		}
		else {
			int cachedTokens = cachedPrefixTokens;
			long durationMs = this.slowdownFactor * call.request.stageMs(this.spec.service(), cachedPrefixTokens);
			this.clock.scheduleAfter(durationMs, () -> complete(call, () -> {
				if (this.losesAnswers && call.request.losesAnswer() && this.spec.service().equals("action")) {
					call.listener.failed(CallFailure.CONNECTION_LOST);
				}
				else {
					call.listener.answered(cachedTokens, incarnation());
				}
			}));
		}
	}

	private void complete(Call call, Runnable result) {
		if (!call.ended) {
			release(call);
			result.run();
		}
	}

	private void release(Call call) {
		call.ended = true;
		updateActivity();
		if (this.running.remove(call)) {
			this.statistics.addBusyTime(this.spec.service(), this.clock.nowMs() - call.startedMs);
		}
		startQueuedCalls();
	}

	/**
	 * Receives the result of a call.
	 */
	interface Listener {

		void answered(int cachedTokens, String incarnation);

		void failed(CallFailure failure);

	}

	/**
	 * One call to an endpoint.
	 */
	static final class Call {

		private final Request request;

		private final Listener listener;

		private long startedMs;

		private boolean ended;

		private Call(Request request, Listener listener) {
			this.request = request;
			this.listener = listener;
		}

	}

}
