package org.fulmargap.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against prompt parts that crash one engine after the other, and against refusing
 * sound requests that share other parts with those that do.
 */
class PromptPartQuarantineProperties {

	@Property(seed = "7301", tries = 300)
	void aPartThatCrashesEnginesIsRefusedAndTheOthersAreServed(@ForAll long seed,
			@ForAll @DoubleRange(min = 0.02, max = 0.8) double share,
			@ForAll @IntRange(min = 1, max = 2) int deadlyParts, @ForAll @IntRange(min = 5, max = 400) int stepMs) {
		check(new Simulation(seed, share, deadlyParts), stepMs);
	}

	@Property(seed = "7302", tries = 300)
	void aPartThatWasAnsweredBeforeItCrashesEnginesIsRefusedToo(@ForAll long seed,
			@ForAll @DoubleRange(min = 0.02, max = 0.8) double share,
			@ForAll @IntRange(min = 5, max = 400) int stepMs) {
		Simulation simulation = new Simulation(seed, share, 1);
		simulation.answerAllParts();
		check(simulation, stepMs);
	}

	@Property(seed = "7302", tries = 300)
	void twoPartsThatWereAnsweredBeforeTheyCrashEnginesAreRefusedToo(@ForAll long seed,
			@ForAll @DoubleRange(min = 0.02, max = 0.8) double share,
			@ForAll @IntRange(min = 5, max = 400) int stepMs) {
		Simulation simulation = new Simulation(seed, share, 2);
		simulation.answerAllParts();
		check(simulation, stepMs);
	}

	private static void check(Simulation simulation, int stepMs) {
		for (int step = 0; step < 1_500; step++) {
			simulation.step(stepMs);
		}
		assertThat(IntStream.of(simulation.lateArrivals).max().orElse(0)).isLessThanOrEqualTo(3);
		assertThat(simulation.vms).allSatisfy((vm) -> {
			assertThat(vm.verdicts(simulation.nowMs))
				.allSatisfy((verdict) -> assertThat(verdict.parts()).anyMatch((part) -> part.startsWith("deadly")));
			assertThat(vm.mustRefuse(Set.of("system", "account-1", "topic-1"), simulation.nowMs)).isFalse();
		});
	}

	private static void crash(PromptPartQuarantine quarantine, int crash, long atMs, String... parts) {
		quarantine.add(new PartCrash("engine-" + crash, atMs, Set.of(parts)), atMs);
	}

	/**
	 * Some VMs with requests of one kind. Reports reach the other VMs after a delay.
	 */
	private static final class Simulation {

		private static final long RELAY_MS = 600;

		private static final long CONTACT_MS = 3_000;

		private final Random random;

		private final double share;

		private final List<PromptPartQuarantine> vms = new ArrayList<>();

		private final List<Running> running = new ArrayList<>();

		private final List<Message> messages = new ArrayList<>();

		private final List<List<Long>> crashesAtMs = new ArrayList<>();

		private final int[] lateArrivals;

		private long nowMs;

		private int engines;

		private Simulation(long seed, double share, int deadlyParts) {
			this.random = new Random(seed);
			this.share = share;
			this.lateArrivals = new int[deadlyParts];
			for (int i = 0; i < deadlyParts; i++) {
				this.crashesAtMs.add(new ArrayList<>());
			}
			for (int i = 0; i < 5; i++) {
				this.vms.add(new PromptPartQuarantine());
			}
		}

		private void answerAllParts() {
			Set<String> parts = new HashSet<>(Set.of("system", "deadly-0", "deadly-1"));
			for (int i = 0; i < 8; i++) {
				parts.add("account-" + i);
				parts.add("topic-" + i);
			}
			this.vms.forEach((vm) -> vm.answered(parts, 0, 0));
		}

		private void step(int stepMs) {
			this.nowMs += this.random.nextInt(stepMs) + 1;
			deliver();
			finish();
			send();
		}

		private void deliver() {
			for (Message message : List.copyOf(this.messages)) {
				if (message.atMs <= this.nowMs) {
					this.messages.remove(message);
					PromptPartQuarantine vm = this.vms.get(message.vm);
					if (message.crash != null) {
						vm.add(message.crash, this.nowMs);
					}
					else {
						vm.answered(message.sound, message.soundAtMs, this.nowMs);
					}
				}
			}
		}

		private void finish() {
			for (Running request : List.copyOf(this.running)) {
				if (request.endsAtMs > this.nowMs || !this.running.contains(request)) {
					continue;
				}
				this.running.remove(request);
				if (request.deadlyPart >= 0) {
					crash(request);
					continue;
				}
				Set<String> cleared = this.vms.get(request.vm).answered(request.parts, this.nowMs, this.nowMs);
				if (!cleared.isEmpty()) {
					tellOthers(request.vm, null, cleared);
				}
			}
		}

		private void crash(Running deadly) {
			this.crashesAtMs.get(deadly.deadlyPart).add(this.nowMs);
			List<Running> lost = new ArrayList<>(List.of(deadly));
			this.running.stream().filter((other) -> other.engine == deadly.engine).forEach(lost::add);
			this.running.removeAll(lost);
			String process = "engine-" + this.engines++;
			for (Running request : lost) {
				this.vms.get(request.vm).connectionLost(process, process, request.parts, this.nowMs);
			}
			for (int vm = 0; vm < this.vms.size(); vm++) {
				Optional<PartCrash> crash = this.vms.get(vm).confirmCrash(process, this.nowMs);
				if (crash.isPresent()) {
					tellOthers(vm, crash.get(), null);
				}
			}
		}

		private void tellOthers(int source, PartCrash crash, Set<String> sound) {
			for (int vm = 0; vm < this.vms.size(); vm++) {
				if (vm != source) {
					long atMs = this.nowMs + this.random.nextInt((int) RELAY_MS);
					this.messages.add(new Message(vm, atMs, crash, sound, this.nowMs));
				}
			}
		}

		private void send() {
			int deadlyPart = (this.random.nextDouble() < this.share) ? this.random.nextInt(this.lateArrivals.length)
					: -1;
			Set<String> parts = new HashSet<>(Set.of("system", "account-" + this.random.nextInt(4)));
			parts.add((deadlyPart >= 0) ? "deadly-" + deadlyPart : "topic-" + this.random.nextInt(8));
			int vm = this.random.nextInt(this.vms.size());
			if (this.vms.get(vm).mustRefuse(parts, this.nowMs)) {
				return;
			}
			if (deadlyPart >= 0) {
				countArrival(deadlyPart);
			}
			this.running.add(new Running(vm, this.random.nextInt(8), parts, deadlyPart,
					this.nowMs + 100 + this.random.nextInt(300)));
		}

		private void countArrival(int deadlyPart) {
			List<Long> crashes = this.crashesAtMs.get(deadlyPart);
			if (crashes.size() >= 5 && this.nowMs > crashes.get(4) + CONTACT_MS) {
				this.lateArrivals[deadlyPart]++;
			}
		}

		private record Running(int vm, int engine, Set<String> parts, int deadlyPart, long endsAtMs) {
		}

		private record Message(int vm, long atMs, PartCrash crash, Set<String> sound, long soundAtMs) {
		}

	}

	@Nested
	class Verdicts {

		private final PromptPartQuarantine quarantine = new PromptPartQuarantine();

		@Test
		void threeCrashesWithAPartRefuseItsRequests() {
			this.quarantine.answered(Set.of("a", "b", "c"), 0, 0);
			crash(this.quarantine, 1, 10, "a", "deadly");
			crash(this.quarantine, 2, 1_000, "b", "deadly");
			assertThat(this.quarantine.mustRefuse(Set.of("c", "deadly"), 1_000)).isFalse();
			crash(this.quarantine, 3, 2_000, "c", "deadly");
			assertThat(this.quarantine.mustRefuse(Set.of("d", "deadly"), 2_000)).isTrue();
			assertThat(this.quarantine.mustRefuse(Set.of("c"), 2_000)).isFalse();
		}

		@Test
		void whereNoPartWasAnsweredBeforeFiveCrashesRefuseAPart() {
			for (int i = 0; i < 5; i++) {
				assertThat(this.quarantine.verdicts(i * 1_000L)).isEmpty();
				crash(this.quarantine, i, i * 1_000L, "topic-" + i, "deadly");
			}
			assertThat(this.quarantine.mustRefuse(Set.of("topic-9", "deadly"), 5_000)).isTrue();
			assertThat(this.quarantine.mustRefuse(Set.of("topic-1"), 5_000)).isFalse();
		}

		@Test
		void partsThatWereAlwaysTogetherAreOnlyRefusedTogether() {
			for (int i = 0; i < 3; i++) {
				crash(this.quarantine, i, i * 1_000L, "system", "deadly");
			}
			assertThat(this.quarantine.mustRefuse(Set.of("system", "deadly"), 3_000)).isTrue();
			assertThat(this.quarantine.mustRefuse(Set.of("system", "topic"), 3_000)).isFalse();
			this.quarantine.answered(Set.of("system", "topic"), 3_000, 3_000);
			assertThat(this.quarantine.mustRefuse(Set.of("other", "deadly"), 3_000)).isTrue();
		}

		@Test
		void enginesLostAtTheSameMomentRefuseNothing() {
			for (int i = 0; i < 20; i++) {
				crash(this.quarantine, i, i * 15L, "system", "topic-" + i % 2);
			}
			assertThat(this.quarantine.verdicts(1_000)).isEmpty();
		}

		@Test
		void anAnswerCancelsTheCrashesBeforeIt() {
			crash(this.quarantine, 1, 0, "part");
			crash(this.quarantine, 2, 1_000, "part");
			assertThat(this.quarantine.answered(Set.of("part"), 1_500, 1_500)).containsExactly("part");
			crash(this.quarantine, 3, 2_000, "part");
			assertThat(this.quarantine.verdicts(2_000)).isEmpty();
		}

		@Test
		void aCrashThatIsReportedAfterALaterAnswerDoesNotCount() {
			crash(this.quarantine, 1, 0, "part");
			this.quarantine.answered(Set.of("part"), 5_000, 5_000);
			for (int i = 2; i < 6; i++) {
				this.quarantine.add(new PartCrash("engine-" + i, i * 500L, Set.of("part")), 5_100);
			}
			assertThat(this.quarantine.verdicts(5_100)).isEmpty();
		}

		@Test
		void anAnswerAfterAVerdictLiftsItAlsoAtAVmThatSawNoCrash() {
			this.quarantine.add(new PartVerdict(Set.of("part"), 1_000, 90_000), 2_000);
			assertThat(this.quarantine.mustRefuse(Set.of("part"), 2_000)).isTrue();
			assertThat(this.quarantine.answered(Set.of("part"), 2_500, 2_500)).containsExactly("part");
			assertThat(this.quarantine.mustRefuse(Set.of("part"), 2_500)).isFalse();
			this.quarantine.add(new PartVerdict(Set.of("part"), 1_000, 90_000), 3_000);
			assertThat(this.quarantine.mustRefuse(Set.of("part"), 3_000)).isFalse();
		}

		@Test
		void verdictsExpire() {
			for (int i = 0; i < 3; i++) {
				crash(this.quarantine, i, i * 1_000L, "deadly");
			}
			long endMs = 2_000 + PromptPartQuarantine.LIFETIME_MS;
			assertThat(this.quarantine.mustRefuse(Set.of("deadly"), endMs - 1)).isTrue();
			assertThat(this.quarantine.mustRefuse(Set.of("deadly"), endMs)).isFalse();
		}

	}

	@Nested
	class Repeats {

		private final PromptPartQuarantine quarantine = new PromptPartQuarantine();

		@Test
		void aRequestIsNotRepeatedOnceTwoCrashesSpeakAgainstItsPart() {
			crash(this.quarantine, 1, 0, "deadly");
			assertThat(this.quarantine.mayRepeat(Set.of("deadly"), 100)).isTrue();
			crash(this.quarantine, 2, 100, "deadly");
			assertThat(this.quarantine.mayRepeat(Set.of("deadly"), 100)).isFalse();
		}

		@Test
		void requestsWithAnAnsweredPartAreRepeatedWhenEnginesAreLostTogether() {
			this.quarantine.answered(Set.of("system"), 0, 0);
			for (int i = 0; i < 10; i++) {
				crash(this.quarantine, i, 1_000 + i * 15L, "system");
			}
			assertThat(this.quarantine.mayRepeat(Set.of("system", "topic"), 1_200)).isTrue();
		}

	}

	@Nested
	class Confirmation {

		private final PromptPartQuarantine quarantine = new PromptPartQuarantine();

		@Test
		void aLostConnectionWithoutACrashSpeaksAgainstNothing() {
			this.quarantine.connectionLost("engine", "engine@1", Set.of("part"), 0);
			assertThat(this.quarantine.confirmCrash("engine", PromptPartQuarantine.CONFIRMATION_MS + 1)).isEmpty();
		}

		@Test
		void aCrashIsReportedOnceWithThePartsOfAllLostRequests() {
			this.quarantine.connectionLost("engine", "engine@1", Set.of("a"), 0);
			this.quarantine.connectionLost("engine", "engine@1", Set.of("b"), 5);
			this.quarantine.connectionLost("other", "other@1", Set.of("c"), 5);
			assertThat(this.quarantine.confirmCrash("engine", 10))
				.contains(new PartCrash("engine@1", 0, Set.of("a", "b")));
			assertThat(this.quarantine.confirmCrash("engine", 20)).isEmpty();
		}

	}

}
