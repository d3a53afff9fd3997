package org.fulmargap.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.config.Json;
import org.fulmargap.ledger.ClaimService.Result;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.FailureType;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs three entry VMs with one log and random faults: outages, lost responses, late
 * appends, pauses, retention, restarts and partitions. Guards against a request that runs
 * twice, a false "not run", the outcome of another request, a version that decreases, and
 * two documents with the same version.
 */
class PlatformServicesProperties {

	private static final List<String> NAMES = List.of("vm1", "vm2", "vm3");

	@Property(seed = "4201", tries = 60)
	void keepTheirInvariantsUnderFaults(@ForAll Random random) {
		new Run(random).run(60_000);
	}

	/**
	 * One random run.
	 */
	private static final class Run {

		private final Random random;

		private final SimulatedVms sim = new SimulatedVms(NAMES);

		private final Map<ClaimKey, String> executions = new HashMap<>();

		private final Map<Long, JsonNode> documents = new HashMap<>();

		private final Map<String, Long> versions = new HashMap<>();

		private final Map<Long, String> accepted = new HashMap<>();

		private final List<Pending> pending = new ArrayList<>();

		private int nextNumber;

		private int ownedClaims;

		private Throwable failure;

		Run(Random random) {
			this.random = random;
		}

		void run(long durationMs) {
			this.sim.runFor(1_000);
			this.sim.at(0, this::nextRequest);
			this.sim.at(0, this::nextFault);
			this.sim.at(0, this::nextPatch);
			for (long passed = 0; passed < durationMs; passed += 10) {
				this.sim.runFor(10);
				checkConfig();
				checkFutures();
				assertThat(this.failure).isNull();
			}
			assertThat(this.sim.violations()).isZero();
			assertThat(this.ownedClaims).as("owned claims").isPositive();
		}

		private void nextRequest() {
			SimulatedVms.Vm vm = anyVm();
			if (vm.isRunning()) {
				// Keys change every two seconds, so that both new keys and retries occur.
				ClaimKey key = new ClaimKey("account", "k" + this.sim.now() / 2_000 + "-" + this.random.nextInt(8));
				Deadline deadline = Deadline.after(this.sim.now(), 300 + this.random.nextInt(2_500));
				String digest = (this.random.nextInt(10) == 0) ? "other" : "digest";
				CompletableFuture<Result> future = vm.claims.claim(key, digest,
						vm.incarnation + "/" + this.nextNumber++, deadline);
				this.pending.add(new Pending(vm, future, deadline));
				future.thenAccept((result) -> checkResult(vm, key, result)).whenComplete(this::recordFailure);
			}
			this.sim.at(1 + this.random.nextInt(60), this::nextRequest);
		}

		private void checkResult(SimulatedVms.Vm vm, ClaimKey key, Result result) {
			if (result instanceof Result.Owned ownedClaim) {
				this.ownedClaims++;
				vm.schedule(this.random.nextInt(100), () -> dispatch(vm, key, ownedClaim.handle()));
			}
			else if (result instanceof Result.Finished finished) {
				assertThat(finished.outcome().body()).isEqualTo(this.executions.get(key));
			}
			else if (result instanceof Result.Refused refused && refused.failure().type() == FailureType.NOT_RUN) {
				assertThat(this.executions).as("not run").doesNotContainKey(key);
			}
		}

		private void dispatch(SimulatedVms.Vm vm, ClaimKey key, ClaimService.Handle handle) {
			int choice = this.random.nextInt(10);
			if (choice == 0 || !handle.markDispatched(this.sim.now())) {
				handle.release();
				assertThat(this.executions).as("released").doesNotContainKey(key);
			}
			else if (choice == 1) {
				// Every endpoint refused the connection.
				vm.schedule(5, handle::release);
			}
			else {
				String body = "answer " + this.nextNumber++;
				assertThat(this.executions.put(key, body)).as("earlier execution of " + key).isNull();
				vm.schedule(this.random.nextInt(400), () -> handle.complete(new RecordedOutcome(200, body, false)));
			}
		}

		private void nextPatch() {
			SimulatedVms.Vm vm = anyVm();
			if (vm.isRunning()) {
				String patchId = "patch" + this.nextNumber++;
				JsonNode patch = Json.mapper()
					.valueToTree(Map.of("accounts", Map.of("a" + this.random.nextInt(3),
							Map.of("api_key_sha256", "0".repeat(64), "weight", this.random.nextInt(5)))));
				long expected = vm.config.current().version();
				vm.config.patch(patchId, expected, patch)
					.thenAccept((decision) -> checkDecision(patchId, decision))
					.whenComplete(this::recordFailure);
			}
			this.sim.at(20 + this.random.nextInt(1_500), this::nextPatch);
		}

		private void checkDecision(String patchId, ConfigService.Decision decision) {
			if (decision.accepted()) {
				assertThat(this.accepted.put(decision.version(), patchId)).isNull();
				for (SimulatedVms.Vm vm : this.sim.vms.values()) {
					boolean member = this.sim.vms.values()
						.stream()
						.anyMatch((other) -> other.config.state().version() >= decision.version()
								&& other.config.state().isMember(vm.name, vm.incarnation));
					assertThat(
							!member || !vm.config.current().known() || vm.config.state().version() >= decision.version()
									|| vm.config.state().pending().isPresent())
						.as("in force or in doubt at " + vm.name)
						.isTrue();
				}
			}
			else if (decision.refusal().orElseThrow() == ConfigService.PatchRefusal.LOG_UNAVAILABLE) {
				assertThat(this.sim.log.entries(LogConfigService.STREAM))
					.noneMatch((entry) -> entry.value().path("patch_id").asText().equals(patchId));
			}
		}

		private void nextFault() {
			String name = NAMES.get(this.random.nextInt(NAMES.size()));
			long durationMs = 1 + this.random.nextInt(3_000);
			FakeLog log = this.sim.log;
			switch (this.random.nextInt(11)) {
				case 0 -> injectFor(durationMs, log.unreachableFrom, name);
				case 1 -> NAMES.forEach((vm) -> injectFor(durationMs, log.unreachableFrom, vm));
				case 2, 3 -> injectFor(durationMs, log.loseResponsesTo, name);
				case 4 -> injectFor(durationMs, log.delayAppendsOf, name);
				case 5 -> log.storeDelayed();
				case 6 -> this.sim.vms.get(name).pauseFor(durationMs);
				case 7 -> injectFor(durationMs, this.sim.partitioned, name);
				case 8 -> log.retainLast(LogClaimService.STREAM, 5 + this.random.nextInt(40));
				case 9 -> log.retainLast(LogConfigService.STREAM, 5 + this.random.nextInt(40));
				default -> restart(name);
			}
			this.sim.at(50 + this.random.nextInt(1_500), this::nextFault);
		}

		private void restart(String name) {
			this.sim.start(name);
			SimulatedVms.Vm started = this.sim.vms.get(name);
			started.schedule(this.random.nextInt(50), () -> {
				for (SimulatedVms.Vm vm : this.sim.vms.values()) {
					if (vm.isRunning() && !this.sim.partitioned.contains(vm.name)) {
						vm.config.exportCopy().ifPresent(started.config::installCopy);
					}
				}
			});
		}

		private void injectFor(long durationMs, Set<String> set, String name) {
			set.add(name);
			this.sim.at(durationMs, () -> set.remove(name));
		}

		private void checkConfig() {
			for (SimulatedVms.Vm vm : this.sim.vms.values()) {
				if (vm.isRunning() && vm.config.current().known()) {
					long version = vm.config.state().version();
					assertThat(this.documents.computeIfAbsent(version, (key) -> vm.config.state().document()))
						.isEqualTo(vm.config.state().document());
					assertThat(version).isGreaterThanOrEqualTo(this.versions.getOrDefault(vm.incarnation, 0L));
					this.versions.put(vm.incarnation, version);
				}
			}
		}

		private void checkFutures() {
			this.pending.removeIf((entry) -> entry.future().isDone() || entry.vm().stopped);
			for (Pending entry : this.pending) {
				boolean late = entry.deadline().isPassed(this.sim.now() - 50)
						&& entry.vm().pausedUntilMs < this.sim.now() - 50;
				assertThat(late).as("pending after the deadline").isFalse();
			}
		}

		// Keeps the first assertion error of a callback, because a future does not throw
		// it.
		private void recordFailure(Object result, Throwable thrown) {
			this.failure = (this.failure != null) ? this.failure : thrown;
		}

		private SimulatedVms.Vm anyVm() {
			return this.sim.vms.get(NAMES.get(this.random.nextInt(NAMES.size())));
		}

		private record Pending(SimulatedVms.Vm vm, CompletableFuture<Result> future, Deadline deadline) {
		}

	}

}
