package org.fulmargap.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties of {@link SharedRetryBudget}.
 */
class SharedRetryBudgetProperties {

	private static final double RATIO = 0.2;

	private static final double SLACK = 54;

	private static final long WINDOW_MS = 10_000;

	private static final long STEP_MS = 50;

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
				vm.firstRequest("service", nowMs);
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

	// The users' rule: the requests are counted in the window of the retries, in the one
	// before it or in the one half a window before it, whichever has most.
	@Property(tries = 40, seed = "12")
	void burstsDoNotBreakTheLimitOfLargeFleets(@ForAll @IntRange(min = 1, max = 95) int vmCount,
			@ForAll @LongRange(min = 0, max = 1_000) long seed) {
		Random random = new Random(seed);
		SharedRetryBudget[] vms = new SharedRetryBudget[vmCount];
		for (int i = 0; i < vmCount; i++) {
			vms[i] = new SharedRetryBudget(RATIO, SLACK, WINDOW_MS);
		}
		int steps = (int) (40_000 / STEP_MS);
		int[] first = new int[steps];
		int[] retried = new int[steps];
		long burstAtMs = random.nextInt(30_000);
		for (int step = 0; step < steps; step++) {
			long nowMs = step * STEP_MS;
			boolean burst = nowMs >= burstAtMs && nowMs < burstAtMs + 5_000;
			for (int i = 0; i < ((burst) ? 30 : 5); i++) {
				vms[random.nextInt(vmCount)].firstRequest("service", nowMs);
				first[step]++;
			}
			boolean failing = nowMs > burstAtMs + random.nextInt(6_000);
			for (SharedRetryBudget vm : vms) {
				while (failing && vm.tryRetry("service", vmCount, nowMs)) {
					retried[step]++;
				}
			}
			assertThat((double) sum(retried, step, 0)).isLessThanOrEqualTo(RATIO * mostRequests(first, step) + SLACK);
		}
	}

	private static int mostRequests(int[] first, int step) {
		return Math.max(sum(first, step, 0), Math.max(sum(first, step, WINDOW_MS / 2), sum(first, step, WINDOW_MS)));
	}

	// The sum of the window that ends the given time before a step.
	private static int sum(int[] counts, int step, long earlierMs) {
		int last = step - (int) (earlierMs / STEP_MS);
		int sum = 0;
		for (int i = Math.max(0, last - (int) (WINDOW_MS / STEP_MS) + 1); i <= last; i++) {
			sum += counts[i];
		}
		return sum;
	}

	@Test
	void aVmOfALargeFleetMayRetryASmallShareOfItsRequests() {
		SharedRetryBudget vm = new SharedRetryBudget(RATIO, SLACK, WINDOW_MS);
		int retries = 0;
		for (long nowMs = 0; nowMs < 10_000; nowMs += 100) {
			vm.firstRequest("service", nowMs);
		}
		while (vm.tryRetry("service", 95, 10_000)) {
			retries++;
		}
		assertThat(retries).isGreaterThanOrEqualTo(4);
	}

}
