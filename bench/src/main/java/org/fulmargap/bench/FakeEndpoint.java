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
 * An endpoint with bounded concurrency, a bounded queue, a bounded prefix cache and a
 * cold start. While it is cold, calls beyond three times its present capacity fail and
 * keep it cold.
 */
final class FakeEndpoint {

	private static final int CACHED_PREFIXES = 6;

	private static final long WARM_UP_DOUBLING_MS = 1_500;

	private static final long OVERLOAD_FAILURE_MS = 200;

	private static final long CRASH_AFTER_MS = 50;

	private static final long RESTART_MS = 3_000;

	private final Clock clock;

	private final String name;

	private final EndpointSpec spec;

	private final Tally tally;

	private final Deque<Call> queue = new ArrayDeque<>();

	private final Set<Call> running = new LinkedHashSet<>();

	private final LinkedHashMap<String, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);

	private int incarnation;

	private boolean up = true;

	private long activeMs = Long.MAX_VALUE / 2;

	private long countedToMs;

	private int slowness = 1;

	private boolean losesAnswers;

	FakeEndpoint(Clock clock, String name, EndpointSpec spec, Tally tally) {
		this.clock = clock;
		this.name = name;
		this.spec = spec;
		this.tally = tally;
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

	void setSlowness(int slowness) {
		this.slowness = slowness;
	}

	void setLosesAnswers(boolean losesAnswers) {
		this.losesAnswers = losesAnswers;
	}

	// Makes the endpoint cold without a restart.
	void becomeCold() {
		countActivity();
		this.activeMs = 0;
		this.cache.clear();
	}

	void stop() {
		this.up = false;
		List<Call> broken = new ArrayList<>(this.running);
		broken.addAll(this.queue);
		this.queue.clear();
		for (Call call : broken) {
			finish(call);
			call.listener.failed(CallFailure.CONNECTION_LOST);
		}
	}

	void start() {
		this.up = true;
		this.incarnation++;
		becomeCold();
	}

	private int capacity() {
		countActivity();
		return (int) Math.min(this.spec.maxConcurrency(),
				Math.pow(2, Math.min(30, this.activeMs / WARM_UP_DOUBLING_MS)));
	}

	private void countActivity() {
		if (!this.running.isEmpty()) {
			this.activeMs += this.clock.nowMs() - this.countedToMs;
		}
		this.countedToMs = this.clock.nowMs();
	}

	// Returns the load, or {@code null} if the endpoint is down.
	LoadReport report() {
		return (this.up) ? new LoadReport(incarnation(), this.running.size(), this.queue.size(), capacity(),
				this.clock.nowMs(), List.of()) : null;
	}

	/**
	 * Runs a call.
	 * @param request the request
	 * @param listener receives the result once, unless the call is cancelled
	 * @return the call, for cancelling it
	 */
	Call submit(Request request, Listener listener) {
		Call call = new Call(request, listener);
		if (!this.up) {
			this.clock.after(1, () -> end(call, () -> listener.failed(CallFailure.CONNECT_FAILED)));
		}
		else if (this.queue.size() >= 2 * this.spec.maxConcurrency()) {
			this.clock.after(1, () -> end(call, () -> listener.failed(CallFailure.REJECTED)));
		}
		else if (capacity() < this.spec.maxConcurrency() && this.running.size() + this.queue.size() >= 3 * capacity()) {
			this.activeMs = 0;
			this.clock.after(OVERLOAD_FAILURE_MS, () -> end(call, () -> listener.failed(CallFailure.ERROR_STATUS)));
		}
		else {
			this.queue.add(call);
			fill();
		}
		return call;
	}

	void cancel(Call call) {
		call.ended = true;
		this.queue.remove(call);
		finish(call);
	}

	private void fill() {
		while (this.up && !this.queue.isEmpty() && this.running.size() < capacity()) {
			start(this.queue.poll());
		}
	}

	private void start(Call call) {
		countActivity();
		this.running.add(call);
		call.startedMs = this.clock.nowMs();
		boolean prompt = this.spec.service().equals("generate");
		int cached = 0;
		if (prompt) {
			cached = (this.cache.containsKey(call.request.prefix())) ? call.request.prefixTokens() : 0;
			this.cache.put(call.request.prefix(), Boolean.TRUE);
			if (this.cache.size() > CACHED_PREFIXES) {
				Map.Entry<String, Boolean> eldest = this.cache.entrySet().iterator().next();
				this.cache.remove(eldest.getKey());
			}
			this.tally.tokens(call.request.promptTokens() - cached + call.request.outputTokens());
		}
		this.tally.executed(call.request, this.spec.service());
		if (prompt && call.request.crashes()) {
			this.clock.after(CRASH_AFTER_MS, () -> {
				if (this.up && !call.ended) {
					this.tally.crashed();
					stop();
					this.clock.after(RESTART_MS, this::start);
				}
			});
		}
		else {
			int cachedTokens = cached;
			long durationMs = this.slowness * call.request.stageMs(this.spec.service(), cached);
			this.clock.after(durationMs, () -> end(call, () -> {
				if (this.losesAnswers && call.request.losesAnswer() && this.spec.service().equals("action")) {
					call.listener.failed(CallFailure.CONNECTION_LOST);
				}
				else {
					call.listener.answered(cachedTokens, incarnation());
				}
			}));
		}
	}

	private void end(Call call, Runnable result) {
		if (!call.ended) {
			finish(call);
			result.run();
		}
	}

	private void finish(Call call) {
		call.ended = true;
		countActivity();
		if (this.running.remove(call)) {
			this.tally.busy(this.spec.service(), this.clock.nowMs() - call.startedMs);
		}
		fill();
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
