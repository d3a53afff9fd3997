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
 * Properties of {@link RetryAllowance}.
 */
class RetryAllowanceProperties {

	private static final double RATIO = 0.2;

	private static final double SLACK = 54;

	private static final long WINDOW_MS = 10_000;

	@Property(tries = 60, seed = "11")
	void theSumOverAllVmsStaysWithinTheBoundOfEachWindow(@ForAll @IntRange(min = 1, max = 12) int vmCount,
			@ForAll @LongRange(min = 0, max = 1_000) long seed) {
		Random random = new Random(seed);
		RetryAllowance[] vms = new RetryAllowance[vmCount];
		for (int i = 0; i < vmCount; i++) {
			vms[i] = new RetryAllowance(RATIO, SLACK, WINDOW_MS);
		}
		Deque<Long> firsts = new ArrayDeque<>();
		Deque<Long> repeats = new ArrayDeque<>();
		for (long nowMs = 0; nowMs < 40_000; nowMs += 20) {
			RetryAllowance vm = vms[random.nextInt(vmCount)];
			if (random.nextInt(3) == 0) {
				vm.firstRequest("service");
				firsts.add(nowMs);
			}
			while (vm.tryRepeat("service", vmCount, nowMs)) {
				repeats.add(nowMs);
			}
			trim(repeats, nowMs - WINDOW_MS);
			trim(firsts, nowMs - 2 * WINDOW_MS);
			assertThat(repeats.size()).isLessThanOrEqualTo((int) (RATIO * firsts.size() + SLACK));
		}
	}

	private static void trim(Deque<Long> times, long beforeMs) {
		while (!times.isEmpty() && times.peekFirst() <= beforeMs) {
			times.pollFirst();
		}
	}

}
