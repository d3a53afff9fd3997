package org.fulmargap.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.fulmargap.catalog.EngineCapacity;
import org.fulmargap.catalog.ServiceSpec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates engines of unequal speed in virtual time. Guards against requests that wait
 * at a slow engine while faster ones are free, and against an engine that stays unused
 * after it has recovered.
 */
class EngineSpeedTests {

	private static final ServiceSpec ENGINES = new ServiceSpec("engines", 0, 11, new EngineCapacity(64, 300_000), null);

	private static final long SIMULATED_MS = 90_000;

	private static final long RECOVERY_AT_MS = 45_000;

	/** Engines are new, so that nothing is learned, until this time. */
	private static final long START_MS = 6_000;

	private static final double GOAL_MS = 700;

	private static final int SEEDS = 10;

	private static Play play(double perSecond, double slowness, double noise, boolean learns) {
		Play play = new Play(perSecond, slowness, noise, learns);
		for (int seed = 0; seed < SEEDS; seed++) {
			play.run(seed);
		}
		return play;
	}

	// At 18 requests a second, the engines are saturated: 0.18 are late, and 0.23 with
	// learning.
	@Test
	void fewerRequestsAreLateWhenOneOfThreeEnginesIsSlow() {
		for (double perSecond : new double[] { 9, 15 }) {
			double withoutLearning = play(perSecond, 2.4, 0.2, false).lateShare();
			assertThat(play(perSecond, 2.4, 0.2, true).lateShare()).isLessThan(withoutLearning * 0.6);
		}
	}

	// Without learning, the engine gets 0.22 of the requests while it is slow and 0.30 at
	// the end.
	@Test
	void anEngineThatHasRecoveredGetsItsShareOfTheRequestsAgain() {
		Play play = play(9, 2.4, 0.2, true);
		assertThat(play.slowShare(START_MS + 10_000, RECOVERY_AT_MS)).isBetween(0.005, 0.1);
		assertThat(play.slowShare(SIMULATED_MS - 20_000, SIMULATED_MS)).isGreaterThan(0.25);
	}

	@Test
	void enginesOfEqualSpeedGetTheSameRequestsAsWithoutLearning() {
		assertThat(play(9, 1, 0.5, true).chosen).isEqualTo(play(9, 1, 0.5, false).chosen);
	}

	@Test
	void theSpeedOfAnEarlierProcessIsForgotten() {
		Endpoint engine = Endpoints.ready("one", "a");
		EndpointRecord called = engine.record();
		for (int i = 0; i < 10; i++) {
			engine.firstEventTook(called, 500, 100, 5_000, START_MS);
		}
		assertThat(engine.engineSpeed().ratio()).hasValue(5);
		engine.update(new EndpointRecord("one", "service", "10.0.0.1:80", "a", 8, false, 0, 2), START_MS);
		assertThat(engine.engineSpeed().ratio()).isEmpty();
		for (int i = 0; i < 10; i++) {
			engine.firstEventTook(called, 500, 100, 5_000, 2 * START_MS);
		}
		assertThat(engine.engineSpeed().ratio()).isEmpty();
	}

	private static final class Play {

		private final double perSecond;

		private final double slowness;

		private final double noise;

		private final boolean learns;

		private final List<Integer> chosen = new ArrayList<>();

		private final List<Long> sentAtMs = new ArrayList<>();

		private int late;

		private Play(double perSecond, double slowness, double noise, boolean learns) {
			this.perSecond = perSecond;
			this.slowness = slowness;
			this.noise = noise;
			this.learns = learns;
		}

		private void run(int seed) {
			Random random = new Random(seed);
			Placement placement = new Placement("a");
			List<Endpoint> engines = List.of(Endpoints.ready("engine0", "a"), Endpoints.ready("engine1", "a"),
					Endpoints.ready("engine2", "a"));
			double[] freeAtMs = new double[engines.size()];
			PriorityQueue<FirstEvent> events = new PriorityQueue<>(Comparator.comparingDouble(FirstEvent::atMs));
			double nextMs = START_MS;
			while (nextMs < SIMULATED_MS) {
				long nowMs = (long) nextMs;
				for (; !events.isEmpty() && events.peek().atMs <= nowMs; events.poll()) {
					end(events.peek());
				}
				Prompt prompt = new Prompt(7_000, 50, List.of(new PromptPart("shared" + random.nextInt(20), 3_000),
						new PromptPart("own" + seed + ' ' + nextMs, 4_000)));
				Endpoint engine = placement
					.choose(engines, Set.of(), ENGINES, new Placement.Demand(prompt, List.of()), 1, nowMs)
					.orElseThrow()
					.endpoint();
				double expectedMs = Placement.firstEventMs(engine, prompt, nowMs);
				int unread = engine.started(prompt, 300_000, nowMs);
				int number = engines.indexOf(engine);
				double factor = (number == 0 && nowMs < RECOVERY_AT_MS) ? this.slowness : 1;
				double prefillMs = (20 + unread / Placement.PREFILL_TOKENS_PER_MS) * factor
						* (1 + this.noise * (random.nextDouble() - 0.5) * 2);
				freeAtMs[number] = Math.max(nowMs, freeAtMs[number]) + prefillMs;
				events.add(new FirstEvent(engine, freeAtMs[number], nowMs, expectedMs, unread));
				this.chosen.add(number);
				this.sentAtMs.add(nowMs);
				nextMs -= Math.log(1 - random.nextDouble()) * 1_000 / this.perSecond;
			}
		}

		private void end(FirstEvent event) {
			event.engine.firstEvent(event.unread);
			double tookMs = event.atMs - event.sentAtMs;
			if (this.learns) {
				event.engine.firstEventTook(event.engine.record(), tookMs, event.expectedMs, event.unread,
						(long) event.atMs);
			}
			event.engine.ended();
			this.late += (tookMs > GOAL_MS) ? 1 : 0;
		}

		private double lateShare() {
			return this.late / (double) this.chosen.size();
		}

		private double slowShare(long fromMs, long toMs) {
			int all = 0;
			int slow = 0;
			for (int i = 0; i < this.chosen.size(); i++) {
				if (this.sentAtMs.get(i) >= fromMs && this.sentAtMs.get(i) < toMs) {
					all++;
					slow += (this.chosen.get(i) == 0) ? 1 : 0;
				}
			}
			return slow / (double) all;
		}

	}

	private record FirstEvent(Endpoint engine, double atMs, long sentAtMs, double expectedMs, int unread) {
	}

}
