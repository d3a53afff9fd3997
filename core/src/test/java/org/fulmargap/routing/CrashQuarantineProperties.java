package org.fulmargap.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fulmargap.routing.CrashQuarantine.Verdict;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that crash several endpoints, and against refusing requests
 * that were in flight at the same endpoint.
 */
class CrashQuarantineProperties {

	@Property(seed = "6201", tries = 300)
	void quarantinesTheCrashingRequestAndNotConcurrentRequests(@ForAll long seed) {
		Random random = new Random(seed);
		List<CrashQuarantine> vms = List.of(new CrashQuarantine(1_000), new CrashQuarantine(1_000),
				new CrashQuarantine(1_000));
		Map<String, List<String>> running = new HashMap<>();
		Map<String, Boolean> isolated = new HashMap<>();
		int crashes = 0;
		for (int step = 0; step < 200; step++) {
			long nowMs = step * 10L;
			CrashQuarantine vm = vms.get(random.nextInt(vms.size()));
			String request = (random.nextInt(10) == 0) ? "crashing" : "plain-" + random.nextInt(30);
			Verdict verdict = vm.verdict(request, nowMs);
			if (!verdict.mayRun()) {
				assertThat(request).isEqualTo("crashing");
				continue;
			}
			String endpoint = "model-" + random.nextInt(8);
			boolean isIsolated = verdict == Verdict.ISOLATED;
			if (vm.suspectedEndpoints(request, nowMs).contains(endpoint)
					|| (isIsolated && isolated.getOrDefault(endpoint, false))) {
				continue;
			}
			running.computeIfAbsent(endpoint, (key) -> new ArrayList<>()).add(request);
			isolated.merge(endpoint, isIsolated, Boolean::logicalOr);
			if (request.equals("crashing")) {
				crashes++;
				// Peers receive the crash reports before the request arrives there again.
				Map<String, List<String>> reports = vm.recordCrash(endpoint, running.remove(endpoint), nowMs);
				isolated.remove(endpoint);
				vms.forEach((peer) -> peer.mergeCrashReports(reports, nowMs));
			}
			else if (random.nextInt(3) > 0) {
				running.get(endpoint).forEach((done) -> vms.forEach((peer) -> peer.completed(done)));
				running.remove(endpoint);
				isolated.remove(endpoint);
			}
		}
		assertThat(crashes).isLessThanOrEqualTo(2);
		if (crashes == 2) {
			assertThat(vms)
				.allSatisfy((vm) -> assertThat(vm.verdict("crashing", 2_000)).isEqualTo(Verdict.QUARANTINED));
		}
	}

	@Nested
	class CrashReports {

		private final CrashQuarantine quarantine = new CrashQuarantine(100);

		@Test
		void twoReportsOfOneEndpointDoNotQuarantine() {
			this.quarantine.recordCrash("m1", List.of("f"), 0);
			this.quarantine.recordCrash("m1", List.of("f"), 1_000);
			assertThat(this.quarantine.verdict("f", 1_000)).isEqualTo(Verdict.ISOLATED);
			assertThat(this.quarantine.suspectedEndpoints("f", 1_000)).containsExactly("m1");
		}

		@Test
		void aLostConnectionIsACrashReportOnlyIfTheCrashIsConfirmed() {
			this.quarantine.connectionLost("m1", "f", 0);
			assertThat(this.quarantine.verdict("f", 100)).isEqualTo(Verdict.ISOLATED);
			assertThat(this.quarantine.verdict("f", 10_000)).isEqualTo(Verdict.ALLOWED);
			this.quarantine.connectionLost("m1", "f", 20_000);
			assertThat(this.quarantine.confirmCrash("m1", 20_100)).isEqualTo(Map.of("f", List.of("m1")));
			assertThat(this.quarantine.verdict("f", 40_000)).isEqualTo(Verdict.ISOLATED);
		}

		@Test
		void aCompletedRequestLosesItsCrashReportsButNotItsQuarantine() {
			this.quarantine.recordCrash("m1", List.of("f", "g"), 0);
			this.quarantine.recordCrash("m2", List.of("g"), 0);
			this.quarantine.completed("f");
			this.quarantine.completed("g");
			assertThat(this.quarantine.verdict("f", 1)).isEqualTo(Verdict.ALLOWED);
			assertThat(this.quarantine.verdict("g", 1)).isEqualTo(Verdict.QUARANTINED);
		}

		@Test
		void theQuarantineLastsTenMinutesFromTheSecondReport() {
			this.quarantine.recordCrash("m1", List.of("f"), 0);
			this.quarantine.recordCrash("m2", List.of("f"), 400_000);
			assertThat(this.quarantine.verdict("f", 999_999)).isEqualTo(Verdict.QUARANTINED);
			assertThat(this.quarantine.verdict("f", 1_000_000)).isEqualTo(Verdict.ALLOWED);
		}

		@Test
		void repeatedHeartbeatsDoNotRenewACrashReport() {
			CrashQuarantine peer = new CrashQuarantine(100);
			this.quarantine.recordCrash("m1", List.of("f"), 0);
			for (long nowMs = 500; nowMs < 2 * CrashQuarantine.LIFETIME_MS; nowMs += 500) {
				peer.mergeCrashReports(this.quarantine.crashReports(nowMs), nowMs);
				this.quarantine.mergeCrashReports(peer.crashReports(nowMs), nowMs);
			}
			assertThat(this.quarantine.verdict("f", 2 * CrashQuarantine.LIFETIME_MS)).isEqualTo(Verdict.ALLOWED);
			assertThat(peer.verdict("f", 2 * CrashQuarantine.LIFETIME_MS)).isEqualTo(Verdict.ALLOWED);
		}

		@Test
		void memoryIsBounded() {
			for (int i = 0; i < 1_000; i++) {
				this.quarantine.recordCrash("m1", List.of("f" + i), i);
				this.quarantine.connectionLost("m2", "g" + i, i);
			}
			Set<String> kept = new HashSet<>(this.quarantine.crashReports(1_000).keySet());
			assertThat(kept).hasSize(100).contains("f999").doesNotContain("f0");
			assertThat(this.quarantine.confirmCrash("m2", 1_000)).hasSize(100);
		}

	}

}
