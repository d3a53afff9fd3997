package org.fulmargap.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the eviction of members that may be running, and against messages of an
 * earlier incarnation that replace the state of the current one.
 */
class MembershipViewTests {

	private static final Map<String, String> DOMAINS = Map.of("a1", "gent-a", "a2", "gent-a", "b1", "gent-b", "b2",
			"gent-b", "c1", "gent-c");

	private static final Set<String> LISTED_WITHOUT_B2 = Set.of("a1", "a2", "b1", "c1");

	private final MembershipView view = new MembershipView(hello("a1", 1), MembershipLimits.DEFAULTS, 1_000);

	private long nowMs = 1_000;

	@BeforeEach
	void join() {
		this.view.setJoined(DOMAINS.keySet()
			.stream()
			.collect(Collectors.toMap(Function.identity(), (vm) -> new Incarnation(vm, 1))), this.nowMs);
		Stream.of("a2", "b1", "b2", "c1").forEach((vm) -> this.view.receiveHello(hello(vm, 1), this.nowMs));
	}

	private List<String> evictable(Set<String> listed) {
		return this.view.evictableMembers(listed, this.nowMs, this.nowMs);
	}

	private void runFor(long durationMs, Set<String> unresponsiveToOthers, String... alive) {
		for (long endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
			this.nowMs += 100;
			this.view.unresponsiveMembers(this.nowMs);
			Stream.of(alive).forEach((vm) -> heartbeat(vm, unresponsiveToOthers));
		}
	}

	private void heartbeat(String vm, Set<String> unresponsive) {
		this.view.receiveHeartbeat(heartbeat(vm, 1, 3, unresponsive), this.nowMs);
	}

	private static Heartbeat heartbeat(String vm, long startedAtMs, long version, Set<String> unresponsive) {
		return new Heartbeat(new Incarnation(vm, startedAtMs), false, version, 0, null, null, 0, null,
				List.copyOf(unresponsive));
	}

	private static Hello hello(String vm, long startedAtMs) {
		return new Hello(vm, new Incarnation(vm, startedAtMs), DOMAINS.get(vm), Hello.PROTOCOL_VERSION, "127.0.0.1:1");
	}

	@Nested
	class Eviction {

		@Test
		void needsTheEvictionTimeWithoutMessages() {
			runFor(9_900, Set.of("b2"), "a2", "b1", "c1");
			assertThat(evictable(LISTED_WITHOUT_B2)).isEmpty();
			runFor(500, Set.of("b2"), "a2", "b1", "c1");
			assertThat(evictable(LISTED_WITHOUT_B2)).containsExactly("b2");
		}

		@Test
		void keepsAVmThatThePlatformLists() {
			runFor(30_000, Set.of("b2"), "a2", "b1", "c1");
			assertThat(evictable(DOMAINS.keySet())).isEmpty();
		}

		@Test
		void keepsAFailureDomainWithoutAnyAliveVm() {
			runFor(60_000, Set.of("b1", "b2"), "a2", "c1");
			assertThat(evictable(Set.of("a1", "a2", "c1"))).isEmpty();
		}

		@Test
		void keepsAVmThatIsResponsiveToAnotherPeer() {
			runFor(30_000, Set.of(), "a2", "b1", "c1");
			assertThat(evictable(LISTED_WITHOUT_B2)).isEmpty();
		}

		@Test
		void needsARecentListThatContainsThisVm() {
			runFor(30_000, Set.of("b2"), "a2", "b1", "c1");
			assertThat(evictable(Set.of())).isEmpty();
			assertThat(MembershipViewTests.this.view.evictableMembers(LISTED_WITHOUT_B2,
					MembershipViewTests.this.nowMs - 10_000, MembershipViewTests.this.nowMs))
				.isEmpty();
		}

		@Test
		void restartsTheEvictionTimeAfterAPauseOfThisProcess() {
			runFor(5_000, Set.of(), "a2", "b1", "b2", "c1");
			MembershipViewTests.this.nowMs += 60_000;
			heartbeat("b1", Set.of("b2"));
			assertThat(evictable(LISTED_WITHOUT_B2)).isEmpty();
		}

		@Test
		void isNotDecidedByAVmWithoutAlivePeers() {
			runFor(30_000, Set.of());
			assertThat(evictable(Set.of("a1"))).isEmpty();
		}

	}

	@Nested
	class Isolation {

		@Test
		void needsLostContactToOtherDomainsAndToTheLog() {
			runFor(3_900, Set.of(), "a2");
			assertThat(isIsolated()).isFalse();
			runFor(200, Set.of(), "a2");
			assertThat(isIsolated()).isTrue();
			MembershipViewTests.this.view.recordLogContact(MembershipViewTests.this.nowMs);
			assertThat(isIsolated()).isFalse();
			runFor(4_000, Set.of(), "a2", "c1");
			assertThat(isIsolated()).isFalse();
		}

		private boolean isIsolated() {
			return MembershipViewTests.this.view.isIsolated(MembershipViewTests.this.nowMs);
		}

	}

	@Nested
	class Incarnations {

		@Test
		void rejectsAnOlderOneAndItsHeartbeats() {
			MembershipView view = MembershipViewTests.this.view;
			assertThat(view.receiveHello(hello("b1", 5), 2_000)).isTrue();
			assertThat(view.receiveHello(hello("b1", 4), 2_000)).isFalse();
			assertThat(view.receiveHeartbeat(heartbeat("b1", 1, 9, Set.of()), 2_000)).isFalse();
			assertThat(view.highestPeerVersion(2_000)).isZero();
			view.setJoined(Map.of("b1", new Incarnation("b1", 3)), 2_000);
			assertThat(view.incarnation("b1")).contains(new Incarnation("b1", 5));
			assertThat(view.receiveHeartbeat(heartbeat("b1", 5, 8, Set.of()), 2_000)).isTrue();
			assertThat(view.highestPeerVersion(2_000)).isEqualTo(8);
			assertThat(view.highestPeerVersion(4_000)).isZero();
		}

		@Test
		void ofVmsThatLeftAreListedForAMinuteAndStillRejectOlderOnes() {
			MembershipView view = MembershipViewTests.this.view;
			view.receiveHello(hello("b1", 5), 2_000);
			view.setJoined(Map.of("a1", new Incarnation("a1", 1)), 2_000);
			assertThat(view.members(60_000)).extracting(MemberStatus::vm).contains("b1");
			assertThat(view.members(62_000)).extracting(MemberStatus::vm).containsExactly("a1");
			assertThat(view.receiveHello(hello("b1", 4), 62_000)).isFalse();
		}

		@Test
		void rejectsTheNameOfThisVm() {
			assertThat(MembershipViewTests.this.view.receiveHello(hello("a1", 7), 2_000)).isFalse();
		}

	}

}
