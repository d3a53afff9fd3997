package org.fulmargap.placement;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays seeded load against {@link DomainSpill}: 20 VMs in each domain, 40 slots at home,
 * 80 elsewhere.
 */
class DomainSpillTests {

	private static final int VMS = 20;

	private static final long HEARTBEAT_MS = 250;

	/** A load of home that is below its capacity, per slot. */
	private static final double QUIET = 0.5;

	private static final double REMOTE_LOAD = 0.2;

	private static DomainTraffic traffic(long seed) {
		return new DomainTraffic(seed, VMS, 40, 80);
	}

	private static DomainSpill.Decision play(DomainSpill spill, DomainLoad home, DomainLoad other, boolean complete,
			long fromMs, long toMs) {
		DomainSpill.Decision decision = null;
		for (long nowMs = fromMs; nowMs <= toMs; nowMs += HEARTBEAT_MS) {
			decision = spill.update(home, List.of(other), complete, nowMs);
		}
		return decision;
	}

	private static DomainLoad load(double endpoints, int inFlight) {
		return new DomainLoad(endpoints, 4 * endpoints, inFlight, 0);
	}

	/** Guards against requests that queue at home beside idle endpoints elsewhere. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void aBurstAtHomeLeavesAndReturnsAfterIt(long seed) {
		DomainTraffic with = traffic(seed);
		DomainTraffic without = traffic(seed);
		with.run(10_000, true, QUIET, REMOTE_LOAD);
		without.run(10_000, false, QUIET, REMOTE_LOAD);
		double burstMs = with.run(20_000, true, 1.5, REMOTE_LOAD);
		double alwaysHomeMs = without.run(20_000, false, 1.5, REMOTE_LOAD);
		System.out.printf("burst, seed %d: mean wait at home %.0f ms with, %.0f ms without%n", seed, burstMs,
				alwaysHomeMs);
		assertThat(burstMs).isLessThan(alwaysHomeMs / 20);
		assertThat(with.meanShare()).isBetween(0.3, 0.6);
		with.run(30_000, true, QUIET, REMOTE_LOAD);
		assertThat(with.meanShare()).isZero();
	}

	/** Guards against traffic between domains that shortens no wait. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void nothingLeavesIfHomeIsIdleOrBothSidesAreOverloadedAlike(long seed) {
		DomainTraffic idle = traffic(seed);
		assertThat(idle.run(60_000, true, QUIET, REMOTE_LOAD)).isLessThan(1);
		assertThat(idle.highestShare()).isZero();
		DomainTraffic overloaded = traffic(seed);
		double withMs = overloaded.run(60_000, true, 1.5, 1.5);
		double withoutMs = traffic(seed).run(60_000, false, 1.5, 1.5);
		System.out.printf("both overloaded, seed %d: mean wait at home %.0f ms with, %.0f ms without%n", seed, withMs,
				withoutMs);
		assertThat(overloaded.highestShare()).isLessThan(0.2);
		assertThat(withMs).isLessThan(1.1 * withoutMs);
	}

	/** Guards against VMs that send traffic back and forth, and those that disagree. */
	@ParameterizedTest
	@ValueSource(doubles = { 1.1, 1.3, 1.5, 1.8 })
	void theSharesOfManyVmsSettle(double homeLoad) {
		DomainTraffic traffic = traffic(1);
		traffic.run(30_000, true, homeLoad, REMOTE_LOAD);
		traffic.restart(0);
		traffic.run(30_000, true, homeLoad, REMOTE_LOAD);
		double low = 1;
		double high = 0;
		double spread = 0;
		for (int second = 0; second < 60; second++) {
			double waitMs = traffic.run(1_000, true, homeLoad, REMOTE_LOAD);
			low = Math.min(low, traffic.meanShare());
			high = Math.max(high, traffic.meanShare());
			spread = Math.max(spread, traffic.spread());
			assertThat(waitMs).isLessThan(100);
		}
		System.out.printf("load %.1f: mean share %.2f to %.2f, largest difference of VMs %.2f%n", homeLoad, low, high,
				spread);
		assertThat(traffic.highestReturn()).isZero();
		assertThat(high - low).isLessThan(0.2);
		assertThat(spread).isLessThan(0.25);
	}

	/** Guards against a loss of reports that is taken for idle endpoints at home. */
	@Test
	void theShareIsKeptForAWhileIfReportsAreMissing() {
		DomainTraffic traffic = traffic(1);
		traffic.run(30_000, true, 1.5, REMOTE_LOAD);
		double share = traffic.meanShare();
		traffic.reports(false);
		double waitMs = traffic.run(9_000, true, 1.5, REMOTE_LOAD);
		System.out.printf("reports missing: mean wait at home %.0f ms%n", waitMs);
		assertThat(traffic.meanShare()).isEqualTo(share);
		assertThat(waitMs).isLessThan(100);
	}

	/** Guards against a burst that is sent to cold endpoints. */
	@Test
	void coldEndpointsElsewhereGetLittle() {
		Endpoint cold = Endpoints.cold("cold", 60_000);
		DomainLoad coldLoad = DomainLoad.of(List.of(cold), 0);
		DomainLoad warmLoad = DomainLoad.of(List.of(Endpoints.ready("warm", "b")), 0);
		assertThat(coldLoad.slots()).isEqualTo(warmLoad.slots() / 10);
		DomainSpill toCold = new DomainSpill(false);
		DomainSpill toWarm = new DomainSpill(false);
		DomainLoad home = DomainLoad.of(List.of(Endpoints.ready("home", "a")), 0).plus(new DomainLoad(0, 0, 16, 0));
		play(toCold, home, coldLoad, true, 0, 2_000);
		play(toWarm, home, warmLoad, true, 0, 2_000);
		assertThat(toCold.share()).isBetween(0.0, 0.15);
		assertThat(toWarm.share()).isGreaterThan(2 * toCold.share());
	}

	/**
	 * Guards against requests that leave for less than their cached prompts are worth.
	 */
	@Test
	void requestsOfAnEngineStayWhileTheyWouldLoseMoreThanTheyWait() {
		Prompt prompt = new Prompt(9_000, 50, List.of(new PromptPart("shared", 6_000), new PromptPart("own", 3_000)));
		Endpoint home = Endpoints.ready("home", "a");
		home.peerSent(prompt, 300_000);
		DomainSpill spill = new DomainSpill(true);
		Placement.Demand demand = new Placement.Demand(prompt, List.of());
		for (int i = 0; i < 500; i++) {
			spill.record(demand, List.of(home), "a", List.of(Endpoints.ready("other", "b")));
		}
		DomainLoad other = new DomainLoad(1, 8, 0, 0);
		play(spill, new DomainLoad(1, 8, 8, 15_000), other, true, 0, 10_000);
		assertThat(spill.share()).isZero();
		play(spill, new DomainLoad(1, 8, 8, 60_000), other, true, 10_000, 20_000);
		assertThat(spill.share()).isPositive();
	}

	/** Guards against requests that wait for endpoints that aren't there. */
	@Test
	void everythingLeavesADomainWithoutEndpointsAndReturnsGradually() {
		DomainSpill spill = new DomainSpill(false);
		assertThat(spill.update(DomainLoad.NONE, List.of(load(2, 100)), true, 0).reason())
			.isEqualTo(DomainSpill.Reason.NOTHING_AT_HOME);
		assertThat(spill.mayLeave("any")).isTrue();
		play(spill, load(1, 0), load(2, 2), true, HEARTBEAT_MS, 1_500);
		assertThat(spill.share()).isBetween(0.3, 0.9);
		play(spill, load(1, 0), load(2, 2), true, 1_750, 20_000);
		assertThat(spill.share()).isZero();
		DomainLoad overloaded = load(1, 40);
		assertThat(spill.update(overloaded, List.of(), true, 30_000).share()).isZero();
	}

	/** Guards against a share that reacts to a short peak. */
	@Test
	void aPeakOfLessThanASecondMovesNothing() {
		DomainSpill spill = new DomainSpill(false);
		play(spill, load(1, 2), load(1, 0), true, 0, 5_000);
		play(spill, load(1, 8), load(1, 0), true, 5_250, 5_750);
		play(spill, load(1, 2), load(1, 0), true, 6_000, 10_000);
		assertThat(spill.share()).isZero();
	}

	/**
	 * Guards against VMs that choose different requests, or another part than the share.
	 */
	@Test
	void theShareOfRequestsLeavesAndTheSameOnesAtAllVms() {
		DomainSpill one = new DomainSpill(false);
		DomainSpill two = new DomainSpill(false);
		play(one, load(1, 20), load(1, 0), true, 0, 3_000);
		play(two, load(1, 20), load(1, 0), true, 100, 3_100);
		int leaving = 0;
		for (int i = 0; i < 10_000; i++) {
			assertThat(one.mayLeave("attempt" + i)).isEqualTo(two.mayLeave("attempt" + i));
			leaving += (one.mayLeave("attempt" + i)) ? 1 : 0;
		}
		assertThat(one.share()).isBetween(0.2, 0.9);
		assertThat(leaving / 10_000.0).isBetween(one.share() - 0.03, one.share() + 0.03);
	}

}
