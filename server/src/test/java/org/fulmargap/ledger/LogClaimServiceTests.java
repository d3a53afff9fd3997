package org.fulmargap.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.ledger.ClaimService.Result;
import org.fulmargap.peer.PeerNetwork.KeyState;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.FailureType;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that run twice, or that are reported as not run although they
 * may have run, at retries, log outages, lost responses, late appends and restarts.
 */
class LogClaimServiceTests {

	private static final ClaimKey KEY = new ClaimKey("account", "key");

	private static final RecordedOutcome OUTCOME = new RecordedOutcome(200, "booked", false);

	private final SimulatedVms sim = new SimulatedVms(List.of("vm1", "vm2", "vm3"));

	private int attemptNumber;

	@BeforeEach
	void join() {
		this.sim.runFor(1_000);
	}

	private SimulatedVms sim() {
		return this.sim;
	}

	private CompletableFuture<Result> claim(String vm, String digest) {
		return this.sim.vms.get(vm).claims.claim(KEY, digest, vm + "/" + this.attemptNumber++,
				Deadline.after(this.sim.now(), 2_000));
	}

	private ClaimService.Handle dispatched(String vm) {
		CompletableFuture<Result> result = claim(vm, "digest");
		this.sim.runFor(20);
		ClaimService.Handle handle = ((Result.Owned) result.join()).handle();
		assertThat(handle.markDispatched(this.sim.now())).isTrue();
		return handle;
	}

	private static FailureType failure(CompletableFuture<Result> result) {
		return ((Result.Refused) result.join()).failure().type();
	}

	private void setLogDown(boolean down) {
		if (down) {
			this.sim.log.unreachableFrom.addAll(this.sim.vms.keySet());
		}
		else {
			this.sim.log.unreachableFrom.clear();
		}
	}

	@Nested
	class Retries {

		@Test
		void atTheSameVmJoinTheRunningRequest() {
			ClaimService.Handle handle = dispatched("vm1");
			CompletableFuture<Result> retry = claim("vm1", "digest");
			handle.complete(OUTCOME);
			assertThat(retry.join()).isEqualTo(new Result.Finished(OUTCOME));
		}

		@Test
		void atAnotherVmGetTheOutcomeFromTheOwnerWhileTheLogIsDown() {
			ClaimService.Handle handle = dispatched("vm1");
			CompletableFuture<Result> retry = claim("vm2", "digest");
			sim().runFor(50);
			setLogDown(true);
			handle.complete(OUTCOME);
			sim().runFor(50);
			assertThat(retry.join()).isEqualTo(new Result.Finished(OUTCOME));
			assertThat(sim().vms.get("vm1").claims.isFlushed()).isFalse();
			setLogDown(false);
			sim().runFor(2_000);
			assertThat(sim().vms.get("vm1").claims.isFlushed()).isTrue();
		}

		@Test
		void ofAnotherBodyAreRefused() {
			dispatched("vm1");
			CompletableFuture<Result> retry = claim("vm2", "other");
			sim().runFor(50);
			assertThat(failure(retry)).isEqualTo(FailureType.KEY_CONFLICT);
		}

		@Test
		void afterTheOwnerCrashedHaveAnUnknownOutcome() {
			dispatched("vm1");
			sim().start("vm1");
			CompletableFuture<Result> atOther = claim("vm2", "digest");
			CompletableFuture<Result> atSame = claim("vm1", "digest");
			sim().runFor(2_000);
			assertThat(failure(atOther)).isEqualTo(FailureType.OUTCOME_UNKNOWN);
			assertThat(failure(atSame)).isEqualTo(FailureType.OUTCOME_UNKNOWN);
		}

		@Test
		void ownAReleasedKey() {
			CompletableFuture<Result> first = claim("vm1", "digest");
			sim().runFor(20);
			CompletableFuture<Result> waiting = claim("vm2", "digest");
			sim().runFor(50);
			assertThat(waiting).isNotDone();
			((Result.Owned) first.join()).handle().release();
			sim().runFor(200);
			assertThat(waiting.join()).isInstanceOf(Result.Owned.class);
		}

	}

	@Nested
	class Outages {

		@Test
		void endAsNotRunIfNoMemberRanTheRequest() {
			setLogDown(true);
			CompletableFuture<Result> result = claim("vm1", "digest");
			sim().runFor(2_000);
			assertThat(failure(result)).isEqualTo(FailureType.NOT_RUN);
		}

		@Test
		void endAsUnknownIfAMemberDoesNotReply() {
			setLogDown(true);
			sim().partitioned.add("vm3");
			CompletableFuture<Result> result = claim("vm1", "digest");
			sim().runFor(2_000);
			assertThat(failure(result)).isEqualTo(FailureType.OUTCOME_UNKNOWN);
		}

		@Test
		void endAsUnknownIfAMemberDispatched() {
			ClaimService.Handle handle = dispatched("vm2");
			sim().log.unreachableFrom.add("vm1");
			CompletableFuture<Result> result = claim("vm1", "digest");
			sim().runFor(2_000);
			assertThat(failure(result)).isEqualTo(FailureType.OUTCOME_UNKNOWN);
			handle.complete(OUTCOME);
		}

		@Test
		void withALostResponseDoNotClaimTwice() {
			sim().log.loseResponsesTo.add("vm1");
			CompletableFuture<Result> result = claim("vm1", "digest");
			sim().runFor(500);
			assertThat(result.join()).isInstanceOf(Result.Owned.class);
			assertThat(sim().log.entries(LogClaimService.STREAM)).hasSize(1);
		}

		@Test
		void leaveNoClaimIfItsAppendIsStoredLate() {
			sim().log.delayAppendsOf.add("vm1");
			CompletableFuture<Result> result = claim("vm1", "digest");
			sim().runFor(2_000);
			assertThat(failure(result)).isEqualTo(FailureType.NOT_RUN);
			sim().log.delayAppendsOf.clear();
			sim().log.storeDelayed();
			sim().runFor(2_000);
			CompletableFuture<Result> next = claim("vm2", "digest");
			sim().runFor(100);
			assertThat(next.join()).isInstanceOf(Result.Owned.class);
		}

	}

	@Nested
	class Owners {

		@Test
		void queriedByAPeerNeverDispatchAfterwards() {
			CompletableFuture<Result> result = claim("vm1", "digest");
			sim().runFor(20);
			assertThat(sim().vms.get("vm1").claims.answerKeyQuery(KEY)).isEqualTo(KeyState.ABANDONED);
			assertThat(((Result.Owned) result.join()).handle().markDispatched(sim().now())).isFalse();
		}

		@Test
		void pausedPastTheDeadlineDoNotDispatch() {
			CompletableFuture<Result> result = claim("vm1", "digest");
			sim().runFor(20);
			sim().runFor(3_000);
			assertThat(((Result.Owned) result.join()).handle().markDispatched(sim().now())).isFalse();
		}

	}

	@Nested
	class Appends {

		@Test
		void containManyClaims() {
			List<CompletableFuture<Result>> results = new ArrayList<>();
			LogClaimService claims = sim().vms.get("vm1").claims;
			for (int i = 0; i < 50; i++) {
				results.add(claims.claim(new ClaimKey("account", "k" + i), "digest", "vm1/x" + i,
						Deadline.after(sim().now(), 2_000)));
			}
			sim().runFor(50);
			assertThat(results).allMatch((result) -> result.join() instanceof Result.Owned);
			assertThat(sim().log.entries(LogClaimService.STREAM)).hasSize(1);
		}

	}

	@Nested
	class Restarts {

		@Test
		void findFinishedKeysWhoseRecordsWereRemovedByRetention() {
			dispatched("vm1").complete(OUTCOME);
			for (int i = 0; i < 40; i++) {
				sim().vms.get("vm2").claims.claim(new ClaimKey("account", "k" + i), "digest", "vm2/x" + i,
						Deadline.after(sim().now(), 2_000));
				sim().runFor(30);
			}
			sim().log.retainLast(LogClaimService.STREAM, 10);
			sim().start("vm3");
			sim().runFor(50);
			assertThat(sim().vms.get("vm3").claims.isComplete()).isFalse();
			sim().runFor(5_000);
			assertThat(sim().vms.get("vm3").claims.isComplete()).isTrue();
			assertThat(claim("vm3", "digest").join()).isEqualTo(new Result.Finished(OUTCOME));
		}

	}

}
