package org.fulmargap.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties of {@link SharedRetryBudget}.
 */
class SharedRetryBudgetProperties {

	private static final double RATIO = 0.2;

	private static final double SLACK = 54;

	private static final long WINDOW_MS = 10_000;

	@Property(tries = 60, seed = "11")
	void theRetriesOfAllVmsStayWithinTheLimitInEachWindow(@ForAll @IntRange(min = 1, max = 12) int vmCount,
			@ForAll @LongRange(min = 0, max = 1_000) long seed) {
		Random random = new Random(seed);
		SharedRetryBudget[] vms = new SharedRetryBudget[vmCount];
		for (int i = 0; i < vmCount; i++) {
			vms[i] = new SharedRetryBudget(RATIO, SLACK, WINDOW_MS);
		}
		Deque<Long> firstRequests = new ArrayDeque<>();
		Deque<Long> retries = new ArrayDeque<>();
		for (long nowMs = 0; nowMs < 40_000; nowMs += 20) {
			SharedRetryBudget vm = vms[random.nextInt(vmCount)];
			if (random.nextInt(3) == 0) {
				vm.firstRequest("service");
				firstRequests.add(nowMs);
			}
			while (vm.tryRetry("service", vmCount, nowMs)) {
				retries.add(nowMs);
			}
			trim(retries, nowMs - WINDOW_MS);
			trim(firstRequests, nowMs - 2 * WINDOW_MS);
			assertThat(retries.size()).isLessThanOrEqualTo((int) (RATIO * firstRequests.size() + SLACK));
		}
	}

	private static void trim(Deque<Long> times, long beforeMs) {
		while (!times.isEmpty() && times.peekFirst() <= beforeMs) {
			times.pollFirst();
		}
	}

}
