package org.fulmargap.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.config.Json;
import org.fulmargap.config.OrderRegister;
import org.fulmargap.ledger.ConfigService.Decision;
import org.fulmargap.ledger.ConfigService.PatchRefusal;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against accepted patches that are not in force at every member or that are
 * reverted, at log outages, lost responses, restarts and changes of the members.
 */
class LogConfigServiceTests {

	private final SimulatedVms sim = new SimulatedVms(List.of("vm1", "vm2", "vm3"));

	@BeforeEach
	void join() {
		this.sim.runFor(1_000);
	}

	private SimulatedVms sim() {
		return this.sim;
	}

	private LogConfigService config(String vm) {
		return this.sim.vms.get(vm).config;
	}

	private CompletableFuture<Decision> patch(String vm, String id, long expectedVersion, int weight) {
		JsonNode patch = Json.mapper()
			.valueToTree(Map.of("accounts", Map.of(id, Map.of("api_key_sha256", "0".repeat(64), "weight", weight))));
		return config(vm).patch(id, expectedVersion, patch);
	}

	private void accept(String id, long expectedVersion) {
		CompletableFuture<Decision> decision = patch("vm1", id, expectedVersion, 1);
		run(500);
		assertThat(decision.join().accepted()).isTrue();
	}

	private static PatchRefusal refusal(CompletableFuture<Decision> decision) {
		return decision.join().refusal().orElseThrow();
	}

	private void run(long durationMs) {
		this.sim.runFor(durationMs);
	}

	private void makeLogUnreachable() {
		this.sim.log.unreachableFrom.addAll(this.sim.vms.keySet());
	}

	@Nested
	class Patches {

		@Test
		void areInForceEverywhere() {
			accept("a", 0);
			run(200);
			for (String vm : List.of("vm1", "vm2", "vm3")) {
				assertThat(config(vm).current().version()).isEqualTo(1);
				assertThat(config(vm).current().configuration().accounts()).containsKey("a");
			}
		}

		@Test
		void areKnownToListenersBeforeTheyAreAnswered() {
			List<String> events = new ArrayList<>();
			config("vm1").onChange((state) -> {
				if (state.version() == 1) {
					events.add("in force");
				}
			});
			patch("vm1", "a", 0, 1).thenRun(() -> events.add("answered"));
			run(500);
			assertThat(events).startsWith("in force").contains("answered");
		}

		@Test
		void ofConcurrentProposersAreAcceptedOnce() {
			CompletableFuture<Decision> first = patch("vm1", "a", 0, 1);
			CompletableFuture<Decision> second = patch("vm2", "b", 0, 1);
			run(2_000);
			assertThat(List.of(first, second)).filteredOn((decision) -> decision.join().accepted()).hasSize(1);
		}

		@Test
		void withoutAnAcknowledgementAreRefusedAndNameTheMember() {
			sim().log.unreachableFrom.add("vm3");
			CompletableFuture<Decision> decision = patch("vm1", "a", 0, 1);
			run(3_000);
			assertThat(refusal(decision)).isEqualTo(PatchRefusal.NOT_ACKNOWLEDGED);
			assertThat(decision.join().message()).contains("vm3").doesNotContain("vm2");
			assertThat(config("vm2").current().version()).isZero();
		}

		@Test
		void thatAreInvalidOrStaleAreRefused() {
			CompletableFuture<Decision> invalid = patch("vm1", "a", 0, 0);
			run(500);
			CompletableFuture<Decision> stale = patch("vm1", "b", 7, 1);
			run(500);
			assertThat(refusal(invalid)).isEqualTo(PatchRefusal.INVALID);
			assertThat(refusal(stale)).isEqualTo(PatchRefusal.STALE_VERSION);
		}

		@Test
		void areRefusedWhileTheLogIsDown() {
			makeLogUnreachable();
			run(2_000);
			assertThat(refusal(patch("vm1", "a", 0, 1))).isEqualTo(PatchRefusal.LOG_UNAVAILABLE);
		}

		@Test
		void haveAnUnknownDecisionIfTheLogStopsAfterTheProposal() {
			sim().log.unreachableFrom.add("vm3");
			CompletableFuture<Decision> decision = patch("vm1", "a", 0, 1);
			run(200);
			makeLogUnreachable();
			run(4_000);
			assertThat(refusal(decision)).isEqualTo(PatchRefusal.DECISION_UNKNOWN);
			assertThat(config("vm2").current().pending()).isPresent();
		}

		@Test
		void ofAnUnresponsiveProposerAreAborted() {
			sim().log.unreachableFrom.add("vm3");
			patch("vm1", "a", 0, 1);
			run(200);
			sim().vms.get("vm1").pauseFor(60_000);
			run(4_000);
			assertThat(config("vm2").state().pending()).isEmpty();
			assertThat(config("vm2").decision("a").orElseThrow().accepted()).isFalse();
		}

		@Test
		void areDecidedDespiteLostResponsesAndUnreadableRecords() {
			sim().log.loseResponsesTo.add("vm1");
			sim().log.store(LogConfigService.STREAM, Json.mapper().createArrayNode());
			CompletableFuture<Decision> decision = patch("vm1", "a", 0, 1);
			run(3_000);
			assertThat(decision.join().accepted()).isTrue();
		}

	}

	@Nested
	class Restarts {

		@Test
		void installACopyFromAPeerWhileTheLogIsDown() {
			accept("a", 0);
			run(200);
			makeLogUnreachable();
			sim().start("vm3");
			run(200);
			assertThat(config("vm3").current().known()).isFalse();
			assertThat(config("vm3").installCopy(config("vm2").exportCopy().orElseThrow())).isTrue();
			assertThat(config("vm3").current().known()).isTrue();
			assertThat(config("vm3").current().version()).isEqualTo(1);
		}

		@Test
		void doNotInstallAnOlderCopy() {
			Optional<JsonNode> old = config("vm2").exportCopy();
			accept("a", 0);
			run(200);
			assertThat(config("vm2").installCopy(old.orElseThrow())).isFalse();
			assertThat(config("vm2").current().version()).isEqualTo(1);
		}

		@Test
		void areNotReadyBelowTheVersionOfAPeer() {
			accept("a", 0);
			makeLogUnreachable();
			sim().start("vm3");
			config("vm3").installCopy(config("vm2").exportCopy().orElseThrow());
			config("vm3").recordPeerVersion(2);
			assertThat(config("vm3").current().known()).isFalse();
		}

		@Test
		void startFromASnapshotAfterRetention() {
			for (int i = 0; i < 8; i++) {
				accept("a" + i, i);
			}
			sim().log.retainLast(LogConfigService.STREAM, 12);
			run(3_000);
			sim().start("vm3");
			run(1_000);
			assertThat(config("vm3").current().known()).isTrue();
			assertThat(config("vm3").state()).isEqualTo(config("vm1").state());
		}

	}

	@Nested
	class Orders {

		@Test
		void areAppendedAfterTheOutageAndTheHighestCounterIsInForce() {
			makeLogUnreachable();
			config("vm1").append(new OrderRegister("endpoint/e1", true, 3, "vm1"));
			config("vm2").append(new OrderRegister("endpoint/e1", false, 2, "vm2"));
			run(1_000);
			sim().log.unreachableFrom.clear();
			run(3_000);
			assertThat(config("vm3").state().orders().get("endpoint/e1").out()).isTrue();
		}

	}

	@Nested
	class Members {

		@Test
		void thatLeaveOrAreEvictedNeedNotAcknowledge() {
			config("vm3").leave();
			run(500);
			assertThat(config("vm1").vms()).containsExactly("vm1", "vm2");
			sim().vms.get("vm2").pauseFor(60_000);
			config("vm1").evict("vm2", sim().vms.get("vm2").incarnation, "test");
			run(500);
			accept("a", 0);
		}

	}

}
