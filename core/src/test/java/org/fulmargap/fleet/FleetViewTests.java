package org.fulmargap.fleet;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that keep work or a share of limits though they are lost, or lose
 * them though they live.
 */
class FleetViewTests {

	private final FleetView fleet = new FleetView(member("own", 1));

	private static FleetMember member(String name, double capacity) {
		return new FleetMember(name, "10.0.0.1:1", "a", capacity);
	}

	@BeforeEach
	void list() {
		this.fleet.put(member("large", 1), 0);
		this.fleet.put(member("small", 0.25), 0);
	}

	private void confirmAll(long nowMs) {
		this.fleet.confirm("large", false, nowMs);
		this.fleet.confirm("small", false, nowMs);
	}

	@Nested
	class Liveness {

		@Test
		void listedVmsArePresumedAliveForSomeTime() {
			assertThat(FleetViewTests.this.fleet.isAlive("large", FleetView.PRESUMED_MS - 1)).isTrue();
			assertThat(FleetViewTests.this.fleet.isAlive("large", FleetView.PRESUMED_MS)).isFalse();
		}

		@Test
		void aVmIsOutOfTouchWhileOneThatMayBeAliveIsNotHeard() {
			FleetView view = FleetViewTests.this.fleet;
			confirmAll(10_000);
			assertThat(view.isOutOfTouch(10_000)).isFalse();
			view.reachable("large", false);
			assertThat(view.isOutOfTouch(10_000)).isTrue();
			view.confirm("small", false, 10_000 + FleetView.COUNTED_MS);
			assertThat(view.isOutOfTouch(10_000 + FleetView.COUNTED_MS)).isFalse();
		}

		@Test
		void aVmIsOutOfTouchAsLongAsItHearsNoOtherOne() {
			FleetView view = FleetViewTests.this.fleet;
			confirmAll(10_000);
			assertThat(view.isOutOfTouch(10_000 + 10 * FleetView.COUNTED_MS)).isTrue();
			view.remove("large");
			view.remove("small");
			assertThat(view.isOutOfTouch(10_000 + 10 * FleetView.COUNTED_MS)).isFalse();
		}

		@Test
		void aVmThatShutDownIsNotMissed() {
			FleetView view = FleetViewTests.this.fleet;
			confirmAll(10_000);
			view.confirm("large", true, 10_000);
			view.reachable("large", false);
			assertThat(view.isOutOfTouch(10_000)).isFalse();
		}

		@Test
		void confirmationsExpire() {
			confirmAll(10_000);
			assertThat(FleetViewTests.this.fleet.isAlive("large", 10_000 + FleetView.CONFIRMATION_MS - 1)).isTrue();
			assertThat(FleetViewTests.this.fleet.isAlive("large", 10_000 + FleetView.CONFIRMATION_MS)).isFalse();
		}

		@Test
		void onlyConfirmedVmsAreReported() {
			FleetViewTests.this.fleet.confirm("large", true, 100);
			assertThat(FleetViewTests.this.fleet.confirmed(100)).containsExactly(new FleetView.VmState("large", true));
		}

		@Test
		void namesThatAreNotListedAreIgnored() {
			FleetViewTests.this.fleet.confirm("unknown", false, 100);
			assertThat(FleetViewTests.this.fleet.isAlive("unknown", 100)).isFalse();
			assertThat(FleetViewTests.this.fleet.count(100)).isEqualTo(3);
		}

	}

	@Nested
	class Cuts {

		@BeforeEach
		void listOtherDomain() {
			for (String name : new String[] { "far-1", "far-2" }) {
				FleetViewTests.this.fleet.put(new FleetMember(name, "10.0.0.1:1", "b", 1), 0);
				FleetViewTests.this.fleet.confirm(name, false, 0);
			}
		}

		@Test
		void aDomainWhoseVmsAreAllUnreachableMayBeCutOff() {
			FleetViewTests.this.fleet.reachable("far-1", false);
			assertThat(FleetViewTests.this.fleet.isCutOffFrom("b", 10)).isFalse();
			FleetViewTests.this.fleet.reachable("far-2", false);
			assertThat(FleetViewTests.this.fleet.isCutOffFrom("b", 10)).isTrue();
		}

		@Test
		void aDomainWhoseVmsAreNoLongerConfirmedMayBeCutOffUntilTheyAreTakenForGone() {
			assertThat(FleetViewTests.this.fleet.isCutOffFrom("b", FleetView.CONFIRMATION_MS)).isTrue();
			assertThat(FleetViewTests.this.fleet.isCutOffFrom("b", FleetView.COUNTED_MS)).isFalse();
		}

		@Test
		void theOwnDomainAndDomainsWithoutVmsAreNeverCutOff() {
			confirmAll(0);
			assertThat(FleetViewTests.this.fleet.isCutOffFrom("a", FleetView.CONFIRMATION_MS)).isFalse();
			assertThat(FleetViewTests.this.fleet.isCutOffFrom("c", 0)).isFalse();
		}

	}

	@Nested
	class SharedLimits {

		@Test
		void areDividedAmongVmsThatWereAliveShortlyBefore() {
			confirmAll(1_000);
			FleetViewTests.this.fleet.reachable("large", false);
			assertThat(FleetViewTests.this.fleet.count(1_000 + FleetView.COUNTED_MS - 1)).isEqualTo(3);
			assertThat(FleetViewTests.this.fleet.count(1_000 + FleetView.COUNTED_MS)).isEqualTo(1);
		}

		@Test
		void areDividedAmongVmsThatWereNotHeardYet() {
			assertThat(FleetViewTests.this.fleet.count(60_000)).isEqualTo(3);
		}

	}

	@Nested
	class Coordinators {

		private String coordinator(long nowMs) {
			FleetViewTests.this.fleet.expire();
			return FleetViewTests.this.fleet.coordinatorOf("stage-4", nowMs);
		}

		@Test
		void areLargeVms() {
			confirmAll(0);
			for (int i = 0; i < 20; i++) {
				assertThat(FleetViewTests.this.fleet.coordinatorOf("stage-" + i, 0)).isNotEqualTo("small");
			}
		}

		@Test
		void areReplacedWhenTheyAreLostDrainOrCannotBeReached() {
			FleetView others = new FleetView(member("none", 0));
			others.put(member("large", 1), 0);
			assertThat(others.coordinatorOf("stage", 0)).isEqualTo("large");
			others.confirm("large", true, 0);
			assertThat(others.coordinatorOf("stage", 0)).isEqualTo("none");
			others.confirm("large", false, 0);
			assertThat(others.coordinatorOf("stage", 0)).isEqualTo("large");
			others.reachable("large", false);
			assertThat(others.coordinatorOf("stage", 0)).isEqualTo("none");
			others.reachable("large", true);
			others.expire();
			assertThat(others.coordinatorOf("stage", FleetView.CONFIRMATION_MS)).isEqualTo("none");
		}

		@Test
		void areOtherVmsThanOneThatDrains() {
			FleetViewTests.this.fleet.drain();
			confirmAll(0);
			assertThat(coordinator(0)).isEqualTo("large");
			assertThat(coordinator(60_000)).isEqualTo("own");
		}

	}

	@Nested
	class Shares {

		private static final int VMS = 7;

		private double sum(double limitPerSecond, long nowMs) {
			double sum = 0;
			for (int own = 0; own < VMS; own++) {
				FleetView view = new FleetView(member("vm-" + own, 1));
				for (int other = 0; other < VMS; other++) {
					view.put(member("vm-" + other, 1), 0);
					view.confirm("vm-" + other, false, 0);
				}
				sum += view.limitShare("e", limitPerSecond, nowMs);
			}
			return sum;
		}

		@Test
		void theSharesOfAllVmsAddUpToNoMoreThanTheLimit() {
			for (double limitPerSecond : new double[] { 0.5, 1, 2.4, 10, 1_000 }) {
				assertThat(sum(limitPerSecond, 0)).isBetween(limitPerSecond * 0.89, limitPerSecond * 0.91);
			}
		}

		@Test
		void aVmThatIsCutOffUsesNoMoreThanItsShareWhileTheOthersCountIt() {
			assertThat(sum(1, FleetView.COUNTED_MS - 1)).isLessThan(1);
		}

	}

}
