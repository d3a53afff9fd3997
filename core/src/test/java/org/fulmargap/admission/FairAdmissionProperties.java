package org.fulmargap.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.request.Priority;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against unfair scheduling and idle slots, by comparison with a reference
 * scheduler.
 */
class FairAdmissionProperties {

	private static final int[] WEIGHTS = { 1, 1, 2, 4, 8 };

	@Property(seed = "7411", tries = 400)
	void startsTheSameRequestsInTheSameOrderAsTheNaiveScheduler(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 6) int slots) {
		Random random = new Random(seed);
		FairAdmission admission = new FairAdmission(slots, 1_000, 10_000);
		NaiveFairScheduler naive = new NaiveFairScheduler(slots);
		Recorder recorder = new Recorder();
		List<Integer> expected = new ArrayList<>();
		for (int step = 0; step < 300; step++) {
			int action = random.nextInt(20);
			if (action < 11) {
				int account = random.nextInt(WEIGHTS.length);
				int priority = random.nextInt(3);
				long cost = 1 + random.nextInt(3_000);
				expected.addAll(naive
					.arrive(new NaiveFairScheduler.Item(step, priority, "a" + account, WEIGHTS[account], cost)));
				admission.admit(new AdmissionRequest("a" + account, WEIGHTS[account], Priority.values()[priority],
						new Deadline(Long.MAX_VALUE / 2), cost), step, recorder.listener(step));
			}
			else if (action < 19 && !recorder.permits.isEmpty()) {
				naive.running--;
				recorder.permits.remove(random.nextInt(recorder.permits.size())).release(step);
				expected.addAll(naive.fill());
			}
			else if (action == 19) {
				naive.slots = 1 + random.nextInt(6);
				admission.setSlots(naive.slots, step);
				expected.addAll(naive.fill());
			}
			assertThat(recorder.started).isEqualTo(expected);
			assertThat(admission.running() >= naive.slots || admission.queued() == 0).as("work conserving").isTrue();
		}
	}

	@Property(seed = "7412", tries = 100)
	void backloggedAccountsGetWorkInProportionToTheirWeights(@ForAll long seed) {
		Random random = new Random(seed);
		FairAdmission admission = new FairAdmission(1, 1_000, 10_000);
		Map<Integer, Long> served = new HashMap<>();
		List<AdmissionListener.Permit> permits = new ArrayList<>();
		long maxCost = 2_000;
		for (int i = 0; i < 400 * WEIGHTS.length; i++) {
			int account = i % WEIGHTS.length;
			long cost = 1 + random.nextInt((int) maxCost);
			admission.admit(new AdmissionRequest("a" + account, WEIGHTS[account], Priority.NORMAL,
					new Deadline(Long.MAX_VALUE / 2), cost), 0, new Recorder().listener(0, (permit) -> {
						served.merge(account, cost, Long::sum);
						permits.add(permit);
					}));
		}
		for (int i = 0; i < 300; i++) {
			permits.remove(0).release(0);
		}
		for (int a = 0; a < WEIGHTS.length; a++) {
			for (int b = 0; b < WEIGHTS.length; b++) {
				double difference = served.getOrDefault(a, 0L) / (double) WEIGHTS[a]
						- served.getOrDefault(b, 0L) / (double) WEIGHTS[b];
				// At most one quantum, and one request for each of the two accounts.
				assertThat(difference).isLessThanOrEqualTo(FairAdmission.QUANTUM_MS + 2 * maxCost);
			}
		}
	}

	@Property(seed = "7413", tries = 200)
	void decidesEachRequestOnceWithinItsDeadlineAndTheQueueBounds(@ForAll long seed) {
		Random random = new Random(seed);
		FairAdmission admission = new FairAdmission(3, 4, 10);
		Recorder recorder = new Recorder();
		Map<Integer, Long> deadlines = new HashMap<>();
		long nowMs = 0;
		for (int step = 0; step < 300; step++) {
			nowMs += random.nextInt(50);
			recorder.nowMs = nowMs;
			if (random.nextInt(3) > 0) {
				deadlines.put(step, nowMs + 1 + random.nextInt(3_000));
				int account = random.nextInt(WEIGHTS.length);
				admission.admit(new AdmissionRequest("a" + account, WEIGHTS[account],
						Priority.values()[random.nextInt(3)], new Deadline(deadlines.get(step)), 200), nowMs,
						recorder.listener(step));
			}
			else if (!recorder.permits.isEmpty()) {
				recorder.permits.remove(0).release(nowMs);
			}
			if (random.nextInt(10) == 0) {
				admission.expire(nowMs);
			}
			assertThat(admission.queued()).isLessThanOrEqualTo(10);
		}
		recorder.nowMs = nowMs + 10_000;
		admission.expire(recorder.nowMs);
		assertThat(admission.queued()).isZero();
		assertThat(recorder.started.size() + recorder.refused.size()).isEqualTo(deadlines.size());
		assertThat(recorder.startedAtMs)
			.allSatisfy((id, atMs) -> assertThat(atMs + 200).isLessThanOrEqualTo(deadlines.get(id)));
	}

	private static final class Recorder {

		private final List<Integer> started = new ArrayList<>();

		private final List<Integer> refused = new ArrayList<>();

		private final Map<Integer, Long> startedAtMs = new HashMap<>();

		private final List<AdmissionListener.Permit> permits = new ArrayList<>();

		private long nowMs;

		AdmissionListener listener(int id) {
			return listener(id, this.permits::add);
		}

		AdmissionListener listener(int id, java.util.function.Consumer<AdmissionListener.Permit> onAdmitted) {
			return new AdmissionListener() {

				@Override
				public void admitted(Permit permit) {
					Recorder.this.started.add(id);
					Recorder.this.startedAtMs.put(id, Recorder.this.nowMs);
					onAdmitted.accept(permit);
				}

				@Override
				public void refused(FulmargapException refusal) {
					assertThat(refusal.type().isNotRun()).isTrue();
					Recorder.this.refused.add(id);
				}

			};
		}

	}

}
