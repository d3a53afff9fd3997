package org.fulmargap.rollout;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays the traffic of a service during a rollout against the decision, in steps of one
 * heartbeat.
 */
class RolloutDecisionTests {

	private static final int SEEDS = 20;

	/** The number of seeds where wrong decisions are rare. */
	private static final int MANY_SEEDS = 60;

	/** The requests per second up to which 50 bad answers may not be reached. */
	private static final int USUAL_RATE = 80;

	private static final int HEARTBEAT_MS = 250;

	private static final int DURATION_MS = 20_000;

	private static final int ENDPOINTS = 12;

	private static final int TURN_MS = 2_000;

	private static final int OLD_CALL_MS = 1_000;

	/** The bad answers from which on the time of the rollback counts. */
	private static final int MANY_BAD = 50;

	private static final RolloutLimits LIMITS = new RolloutLimits(0.1, 50, 5_000);

	private static final RolloutOrder ORDER = new RolloutOrder("pool", "v2", DURATION_MS, 7);

	@Nested
	class GoodVersions {

		@Test
		void aGoodVersionIsCompletedWithinTheTimeLimit() {
			for (int seed = 0; seed < SEEDS; seed++) {
				Traffic traffic = new Traffic(seed, 80, 0.01, (call) -> 0.01);
				traffic.play();
				assertThat(traffic.step.state()).as("seed %d", seed).isEqualTo(RolloutState.COMPLETE);
				assertThat(traffic.endedAtMs).as("seed %d", seed).isLessThan(DURATION_MS);
			}
		}

		@Test
		void aGoodVersionIsCompletedWithinAShortOrLongTimeLimit() {
			for (int durationMs : new int[] { 5_000, 60_000 }) {
				for (int seed = 0; seed < SEEDS; seed++) {
					Traffic traffic = new Traffic(seed, 80, 0.01, (call) -> 0.01, durationMs);
					traffic.play();
					assertThat(traffic.step.state()).as("seed %d", seed).isEqualTo(RolloutState.COMPLETE);
				}
			}
		}

		@Test
		void aGoodVersionOfAServiceWithLittleTrafficIsCompleted() {
			Traffic traffic = new Traffic(1, 3, 0, (call) -> 0);
			traffic.play();
			assertThat(traffic.step.state()).isEqualTo(RolloutState.COMPLETE);
		}

		@Test
		void aSlowMachineDoesNotRevertAGoodVersion() {
			for (int seed = 0; seed < SEEDS; seed++) {
				Traffic traffic = new Traffic(seed, 80, 0.01, (call) -> (call.endpoint() == 0) ? 0.9 : 0.01);
				traffic.play();
				assertThat(traffic.step.state()).as("seed %d", seed).isEqualTo(RolloutState.COMPLETE);
			}
		}

		@Test
		void failuresOfBothVersionsDoNotRevertTheNewOne() {
			for (int seed = 0; seed < MANY_SEEDS; seed++) {
				Traffic traffic = new Traffic(seed, 80, 0.15, (call) -> 0.15);
				traffic.play();
				assertThat(traffic.step.state()).as("seed %d", seed).isEqualTo(RolloutState.COMPLETE);
			}
		}

		@Test
		void noVmStillUsesOldEndpointsWhenTheRolloutIsCompleted() {
			Traffic traffic = new Traffic(3, 80, 0, (call) -> 0);
			traffic.play();
			assertThat(traffic.oldInFlight).isZero();
		}

	}

	@Nested
	class BadVersions {

		private void assertReverted(int perSecond, Badness badness) {
			assertReverted(perSecond, badness, DURATION_MS);
		}

		private void assertReverted(int perSecond, Badness badness, int durationMs) {
			for (int seed = 0; seed < SEEDS; seed++) {
				Traffic traffic = new Traffic(seed, perSecond, 0.01, badness, durationMs);
				traffic.play();
				assertThat(traffic.step.state()).as("seed %d", seed).isEqualTo(RolloutState.REVERTED);
				double allowed = LIMITS.exposureShare() * perSecond * durationMs / 1_000 + LIMITS.exposureSlack();
				assertThat(traffic.updated).as("requests to the bad version, seed %d", seed)
					.isLessThanOrEqualTo((long) allowed);
				if (traffic.manyBadAtMs >= 0) {
					assertThat(traffic.lastUpdatedAtMs - traffic.manyBadAtMs)
						.as("time from the 50th bad answer to the last request, seed %d", seed)
						.isLessThanOrEqualTo(LIMITS.rollbackMs());
				}
				if (perSecond <= USUAL_RATE) {
					assertThat(traffic.bad).as("bad answers, seed %d", seed).isLessThan(MANY_BAD);
				}
			}
		}

		@Test
		void aVersionThatFailsAtOnceIsReverted() {
			assertReverted(80, (call) -> 0.4);
		}

		@Test
		void aVersionThatFailsLaterIsReverted() {
			assertReverted(80, (call) -> (call.atMs() < 8_000) ? 0.01 : 0.4);
		}

		@Test
		void aVersionThatFailsUnderLoadIsReverted() {
			assertReverted(80, (call) -> (call.load() > 0.8) ? 0.4 : 0.01);
		}

		@Test
		void aVersionThatFailsOnOneRouteIsReverted() {
			assertReverted(80, (call) -> (call.route() == 2) ? 0.6 : 0.01);
		}

		@Test
		void aVersionOfABusyServiceThatFailsLaterIsRevertedInTime() {
			assertReverted(2_000, (call) -> (call.atMs() < 30_000) ? 0.01 : 0.15, 60_000);
		}

		@Test
		void aVersionThatFailsWhileOldRequestsEndIsRevertedWithinTheExposureBound() {
			double allowed = LIMITS.exposureShare() * 80 * DURATION_MS / 1_000 + LIMITS.exposureSlack();
			for (int seed = 0; seed < SEEDS; seed++) {
				Traffic traffic = new Traffic(seed, 80, 0.01, (call) -> (call.atMs() < 16_000) ? 0.01 : 0.4);
				traffic.oldCallMs = 4_000;
				traffic.play();
				assertThat(traffic.step.state()).as("seed %d", seed).isEqualTo(RolloutState.REVERTED);
				assertThat(traffic.updated).as("requests to the bad version, seed %d", seed)
					.isLessThanOrEqualTo((long) allowed);
			}
		}

		@Test
		void aVersionThatFailsAtTheLargestShareIsReverted() {
			assertReverted(80, (call) -> (call.atMs() < 15_500) ? 0.01 : 0.4);
		}

		@Test
		void aBadVersionWithAShortTimeLimitIsReverted() {
			assertReverted(80, (call) -> 0.4, 5_000);
			assertReverted(80, (call) -> 0.4, 2_000);
		}

		@Test
		void aBadVersionOfAServiceWithLittleTrafficIsReverted() {
			assertReverted(8, (call) -> 0.5);
		}

	}

	@Nested
	class MissingReports {

		private final RolloutDecision decision = new RolloutDecision(ORDER, LIMITS, 0);

		private RolloutStep next(RolloutStep last, RolloutReport sum, RolloutDecision.ServiceState service,
				long nowMs) {
			return this.decision.next(last, 0, sum, List.of(), service, nowMs).step();
		}

		@Test
		void aVersionThatNeverAppearsIsRevertedAtTheTimeLimit() {
			RolloutReport sum = new RolloutReport(7, 400, 0, Map.of(), 5, 0, 3);
			RolloutDecision.ServiceState service = new RolloutDecision.ServiceState(3, 0);
			assertThat(next(RolloutStep.first(7), sum, service, 10_000)).isEqualTo(RolloutStep.first(7));
			assertThat(next(RolloutStep.first(7), sum, service, DURATION_MS).state()).isEqualTo(RolloutState.REVERTED);
		}

		@Test
		void theShareDoesNotRiseWhileReportsOfVmsAreMissing() {
			RolloutReport sum = new RolloutReport(7, 400, 0, Map.of(), 5, 0, 2);
			RolloutStep step = next(RolloutStep.first(7), sum, new RolloutDecision.ServiceState(3, 4), 1_000);
			assertThat(step).isEqualTo(RolloutStep.first(7));
		}

		@Test
		void aRolloutIsNotCompletedBeforeAllVmsFollowTheLastStep() {
			RolloutStep full = new RolloutStep(7, 5, RolloutPhase.FULL, 1, RolloutState.IN_PROGRESS);
			RolloutDecision.ServiceState service = new RolloutDecision.ServiceState(3, 4);
			RolloutReport behind = new RolloutReport(7, 400, 90, Map.of(), 0, 4, 3);
			assertThat(next(full, behind, service, 17_000).state()).isEqualTo(RolloutState.IN_PROGRESS);
			RolloutReport confirmed = new RolloutReport(7, 400, 90, Map.of(), 0, 5, 3);
			assertThat(next(full, confirmed, service, 17_000).state()).isEqualTo(RolloutState.COMPLETE);
		}

		@Test
		void aPausedRolloutIsNotCompleted() {
			RolloutStep paused = new RolloutStep(7, 5, RolloutPhase.FULL, 1, RolloutState.IN_PROGRESS).pause();
			RolloutReport confirmed = new RolloutReport(7, 400, 90, Map.of(), 0, 6, 3);
			RolloutStep next = next(paused, confirmed, new RolloutDecision.ServiceState(3, 4), 17_000);
			assertThat(next.state()).isEqualTo(RolloutState.IN_PROGRESS);
		}

		@Test
		void aFinalStateIsNotLeft() {
			RolloutStep reverted = new RolloutStep(7, 3, RolloutPhase.CANARY, 0, RolloutState.REVERTED);
			RolloutReport sum = new RolloutReport(7, 400, 90, Map.of(), 0, 3, 3);
			assertThat(next(reverted, sum, new RolloutDecision.ServiceState(3, 4), 5_000)).isEqualTo(reverted);
		}

	}

	/**
	 * One call to an endpoint of the new version.
	 *
	 * @param atMs the time since the order, in milliseconds
	 * @param route the number of the route
	 * @param endpoint the number of the endpoint
	 * @param load the load of the endpoint relative to that of an old one at the start
	 */
	private record Call(long atMs, int route, int endpoint, double load) {
	}

	private interface Badness {

		double share(Call call);

	}

	private static final class Traffic {

		private final Random random;

		private final int perSecond;

		private final double oldBadShare;

		private final Badness badness;

		private final RolloutDecision decision;

		private final RecentAnswers recent = new RecentAnswers();

		private final int durationMs;

		private final Map<String, RouteCounts> routes = new TreeMap<>();

		private RolloutStep step = RolloutStep.first(7);

		private long stepAtMs;

		private int oldCallMs = OLD_CALL_MS;

		private long requests;

		private long updated;

		private long bad;

		// The time of the 50th bad answer; -1 if there were fewer.
		private long manyBadAtMs = -1;

		private long lastUpdatedAtMs;

		private int oldInFlight;

		private long endedAtMs;

		private Traffic(int seed, int perSecond, double oldBadShare, Badness badness) {
			this(seed, perSecond, oldBadShare, badness, DURATION_MS);
		}

		private Traffic(int seed, int perSecond, double oldBadShare, Badness badness, int durationMs) {
			this.durationMs = durationMs;
			this.decision = new RolloutDecision(new RolloutOrder("pool", "v2", durationMs, 7), LIMITS, 0);
			this.random = new Random(seed);
			this.perSecond = perSecond;
			this.oldBadShare = oldBadShare;
			this.badness = badness;
		}

		// The decision sees the reports of the heartbeat before.
		private void play() {
			RolloutReport sum = report();
			int oldSinceMs = 0;
			for (int nowMs = 0; nowMs <= this.durationMs && !this.step.state().isFinal(); nowMs += HEARTBEAT_MS) {
				send(nowMs);
				oldSinceMs = (this.step.share() < 1) ? nowMs : oldSinceMs;
				this.oldInFlight = (nowMs - oldSinceMs < this.oldCallMs) ? this.perSecond : 0;
				RolloutStep next = this.decision
					.next(this.step, this.stepAtMs, sum, this.recent.add(sum.routes(), nowMs),
							new RolloutDecision.ServiceState(3, ENDPOINTS), nowMs)
					.step();
				this.stepAtMs = (next.equals(this.step)) ? this.stepAtMs : nowMs;
				this.step = next;
				this.endedAtMs = nowMs;
				sum = report();
			}
		}

		private RolloutReport report() {
			return new RolloutReport(ORDER.id(), this.requests, this.updated, this.routes, this.oldInFlight,
					this.step.number(), 3);
		}

		private void send(int nowMs) {
			double expected = this.perSecond * HEARTBEAT_MS / 1_000.0;
			int count = (int) expected + ((this.random.nextDouble() < expected % 1) ? 1 : 0);
			double share = this.step.share();
			int used = (this.step.phase().isConcentrated()) ? Math.max(1, (int) (share / (1 - share) * ENDPOINTS))
					: ENDPOINTS;
			for (int i = 0; i < count; i++) {
				int route = this.random.nextInt(3);
				this.requests++;
				if (this.random.nextDouble() < share) {
					double load = share * ENDPOINTS / used;
					int endpoint = (nowMs / TURN_MS * used + this.random.nextInt(used)) % ENDPOINTS;
					answer(new Call(nowMs, route, endpoint, load));
				}
				else {
					boolean failed = this.random.nextDouble() < this.oldBadShare;
					AnswerOutcome outcome = (failed) ? AnswerOutcome.FAILED : AnswerOutcome.GOOD;
					this.routes.merge("route-" + route, new RouteCounts(outcome.counts(), Map.of()), RouteCounts::plus);
				}
			}
		}

		private void answer(Call call) {
			boolean failed = this.random.nextDouble() < this.badness.share(call);
			AnswerOutcome outcome = (failed) ? AnswerOutcome.SLOW : AnswerOutcome.GOOD;
			this.updated++;
			this.bad += (failed) ? 1 : 0;
			this.manyBadAtMs = (this.bad == MANY_BAD && this.manyBadAtMs < 0) ? call.atMs() : this.manyBadAtMs;
			this.lastUpdatedAtMs = call.atMs();
			this.routes.merge("route-" + call.route(),
					new RouteCounts(AnswerCounts.NONE, Map.of("new-" + call.endpoint(), outcome.counts())),
					RouteCounts::plus);
		}

	}

}
