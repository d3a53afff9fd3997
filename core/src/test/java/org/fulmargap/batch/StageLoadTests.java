package org.fulmargap.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.fulmargap.catalog.StageCapacity;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.Endpoints;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates the load of one stage service in virtual time and checks how many requests
 * are done in time. The capacity is that of {@code chain-sync} in the users' data sheets:
 * four endpoints, at most 17 work items per call, six work items per request.
 */
class StageLoadTests {

	private static final StageCapacity CHAIN_SYNC = new StageCapacity(1, 2, 17, 200, 10.1176, 2_295_000, 4_000);

	private static final int ENDPOINTS = 4;

	private static final int WORK_ITEMS = 6;

	private static final long SIMULATED_MS = 30_000;

	/** When the stage should be done, in milliseconds after the request's arrival. */
	private static final long DUE_MS = 900;

	private static final long EXPIRES_MS = 4_000;

	@Test
	void requestsAtTheAverageRateAreServedInTime() {
		Result result = simulate(16, 0.5, false);
		assertThat(result.inTimeShare(0)).isGreaterThan(0.98);
		assertThat(result.inTimeShare(2)).isGreaterThan(0.98);
	}

	@Test
	void sharedCallsServeABurstThatCallsOfOneRequestEachCannot() {
		// With calls of one request each, at most four requests are done in 261 ms, or
		// 15.3 a second.
		assertThat(simulate(28, 0.5, true).inTimeShare()).isLessThan(0.6);
		assertThat(simulate(28, 0.5, false).inTimeShare()).isGreaterThan(0.95);
	}

	@Test
	void urgentRequestsStayInTimeInAnOverload() {
		Result result = simulate(40, 0.5, false);
		assertThat(result.inTimeShare(0)).isGreaterThan(0.9);
		assertThat(result.servedShare(2)).isGreaterThan(0.25);
	}

	@Test
	void moreThanHalfOfTheRequestsAreServedInTimeInAnOverloadWithoutUrgentOnes() {
		// Four endpoints can do at most 183 work items a second, or 30.5 requests.
		assertThat(simulate(40, 0, false).inTimeShare()).isGreaterThan(0.5);
	}

	private static Result simulate(double requestsPerSecond, double urgentShare, boolean singleRequestCalls) {
		Random random = new Random(7);
		BatchScheduler scheduler = new BatchScheduler(CHAIN_SYNC);
		List<Endpoint> endpoints = new ArrayList<>();
		for (int i = 0; i < ENDPOINTS; i++) {
			endpoints.add(Endpoints.ready("endpoint" + i, "a"));
		}
		PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingDouble(Running::endsAtMs));
		Map<String, Request> requests = new HashMap<>();
		Result result = new Result();
		double nextArrivalMs = 0;
		long itemId = 0;
		double nowMs = 0;
		while (nowMs < SIMULATED_MS) {
			nowMs = (running.isEmpty()) ? nextArrivalMs : Math.min(nextArrivalMs, running.peek().endsAtMs());
			if (nowMs >= nextArrivalMs) {
				int priority = (random.nextDouble() < urgentShare) ? 0 : 2;
				Request request = new Request("request" + requests.size(), priority, (long) nowMs);
				requests.put(request.id, request);
				result.arrived(request);
				for (int i = 0; i < WORK_ITEMS; i++) {
					itemId++;
					scheduler.add(new WorkItem(itemId, request.id, 1, i, "key", List.of(), "", priority,
							(long) nowMs + DUE_MS, (long) nowMs + EXPIRES_MS, 60_000));
				}
				nextArrivalMs = nowMs - Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
			}
			while (!running.isEmpty() && running.peek().endsAtMs() <= nowMs) {
				Running done = running.poll();
				scheduler.ended(done.call());
				for (WorkItem item : done.call().items()) {
					result.done(requests.get(item.attemptId()), (long) nowMs);
				}
			}
			scheduler.expire(ENDPOINTS, (long) nowMs);
			start(scheduler, endpoints, running, nowMs, singleRequestCalls);
		}
		return result;
	}

	private static void start(BatchScheduler scheduler, List<Endpoint> endpoints, PriorityQueue<Running> running,
			double nowMs, boolean singleRequestCalls) {
		var call = scheduler.next(endpoints, (long) nowMs);
		while (call.isPresent()) {
			StageCall next = call.get();
			if (singleRequestCalls) {
				next = firstRequestOnly(scheduler, next);
			}
			running.add(new Running(next, nowMs + scheduler.expectedMs(next.items().size())));
			call = scheduler.next(endpoints, (long) nowMs);
		}
	}

	// For comparison: a call without batching across requests.
	private static StageCall firstRequestOnly(BatchScheduler scheduler, StageCall call) {
		String id = call.items().get(0).attemptId();
		List<WorkItem> own = call.items().stream().filter((item) -> item.attemptId().equals(id)).toList();
		call.items().stream().filter((item) -> !own.contains(item)).forEach(scheduler::add);
		return new StageCall(call.endpoint(), own, call.expectedMs());
	}

	private record Running(StageCall call, double endsAtMs) {
	}

	private static final class Request {

		private final String id;

		private final int priority;

		private final long arrivedAtMs;

		private int itemsLeft = WORK_ITEMS;

		private Request(String id, int priority, long arrivedAtMs) {
			this.id = id;
			this.priority = priority;
			this.arrivedAtMs = arrivedAtMs;
		}

	}

	private static final class Result {

		private final int[] arrivals = new int[3];

		private final int[] served = new int[3];

		private final int[] inTime = new int[3];

		private void arrived(Request request) {
			// Requests that might not end within the simulated time are not counted.
			if (request.arrivedAtMs < SIMULATED_MS - EXPIRES_MS) {
				this.arrivals[request.priority]++;
			}
		}

		private void done(Request request, long nowMs) {
			request.itemsLeft--;
			if (request.itemsLeft == 0 && request.arrivedAtMs < SIMULATED_MS - EXPIRES_MS) {
				this.served[request.priority]++;
				this.inTime[request.priority] += (nowMs - request.arrivedAtMs <= DUE_MS) ? 1 : 0;
			}
		}

		private double inTimeShare(int priority) {
			return this.inTime[priority] / (double) Math.max(1, this.arrivals[priority]);
		}

		private double servedShare(int priority) {
			return this.served[priority] / (double) Math.max(1, this.arrivals[priority]);
		}

		private double inTimeShare() {
			return (this.inTime[0] + this.inTime[2]) / (double) Math.max(1, this.arrivals[0] + this.arrivals[2]);
		}

	}

}
