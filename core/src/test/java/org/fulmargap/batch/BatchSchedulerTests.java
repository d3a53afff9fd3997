package org.fulmargap.batch;

import java.util.List;

import org.fulmargap.catalog.StageCapacity;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.Endpoints;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link BatchScheduler}.
 */
class BatchSchedulerTests {

	private static final long EXPIRES_AT_MS = 100_000;

	private final StageCapacity capacity = new StageCapacity(1, 2, 4, 200, 10, 1_000, 4_000);

	private final BatchScheduler scheduler = new BatchScheduler(this.capacity);

	private final Endpoint local = Endpoints.ready("local", "a");

	private final Endpoint remote = Endpoints.ready("remote", "b");

	private long itemIds;

	private WorkItem item(String request, int priority, long dueAtMs, long bytes, String domain) {
		this.itemIds++;
		return new WorkItem(this.itemIds, request, 0, 0, "key", List.of(), domain, priority, dueAtMs, EXPIRES_AT_MS,
				bytes);
	}

	private WorkItem add(String request, int priority, long dueAtMs) {
		WorkItem item = item(request, priority, dueAtMs, 10, "");
		this.scheduler.add(item);
		return item;
	}

	@Test
	void aResultThatNobodyNeedsCountsAsWasted() {
		WorkItem item = item("one", 0, 1_000, 10, "");
		assertThat(WastedWork.ofResult(item, false, EXPIRES_AT_MS)).isEmpty();
		assertThat(WastedWork.ofResult(item, true, EXPIRES_AT_MS)).contains(WastedWork.UNUSED);
		assertThat(WastedWork.ofResult(item, false, EXPIRES_AT_MS + 1)).contains(WastedWork.LATE);
		assertThat(WastedWork.NO_ROOM.counter()).isEqualTo("stage_work_wasted_no_room");
	}

	@Nested
	class SharedCalls {

		@Test
		void itemsOfSeveralRequestsShareACall() {
			add("one", 0, 1_000);
			add("two", 0, 1_100);
			StageCall call = BatchSchedulerTests.this.scheduler.next(List.of(BatchSchedulerTests.this.local), 0)
				.orElseThrow();
			assertThat(call.items()).extracting(WorkItem::attemptId).containsExactly("one", "two");
			assertThat(call.expectedMs()).isEqualTo(220);
		}

		@Test
		void anEndpointGetsItsNextCallWhenItsPreviousOneEnds() {
			List<Endpoint> endpoints = List.of(BatchSchedulerTests.this.local);
			add("one", 0, 1_000);
			StageCall first = BatchSchedulerTests.this.scheduler.next(endpoints, 0).orElseThrow();
			add("two", 0, 1_000);
			assertThat(BatchSchedulerTests.this.scheduler.next(endpoints, 0)).isEmpty();
			BatchSchedulerTests.this.scheduler.ended(first);
			assertThat(BatchSchedulerTests.this.scheduler.next(endpoints, 0)).isPresent();
		}

		@Test
		void aCallHoldsAtMostOneBatch() {
			for (int i = 0; i < 6; i++) {
				add("request" + i, 0, 1_000);
			}
			StageCall call = BatchSchedulerTests.this.scheduler.next(List.of(BatchSchedulerTests.this.local), 0)
				.orElseThrow();
			assertThat(call.items()).hasSize(4);
			assertThat(BatchSchedulerTests.this.scheduler.waitingCount()).isEqualTo(2);
		}

	}

	@Nested
	class ItemsOfOneRequest {

		private void addAll(String request, long dueAtMs, int items, String domain) {
			for (int i = 0; i < items; i++) {
				BatchSchedulerTests.this.scheduler.add(item(request, 0, dueAtMs, 10, domain));
			}
		}

		private StageCall next(Endpoint... endpoints) {
			return BatchSchedulerTests.this.scheduler.next(List.of(endpoints), 0).orElseThrow();
		}

		@Test
		void shareACall() {
			addAll("one", 1_000, 3, "");
			addAll("two", 1_010, 2, "");
			addAll("three", 1_020, 1, "");
			StageCall call = next(BatchSchedulerTests.this.local);
			assertThat(call.items()).extracting(WorkItem::attemptId).containsExactly("one", "one", "one", "three");
		}

		@Test
		void areSplitWhileAFullBatchWaits() {
			addAll("one", 1_000, 3, "");
			addAll("two", 1_010, 3, "");
			addAll("three", 1_020, 3, "");
			StageCall call = next(BatchSchedulerTests.this.local);
			assertThat(call.items()).extracting(WorkItem::attemptId).containsExactly("one", "one", "one", "two");
		}

		@Test
		void areSplitIfTheyExceedABatch() {
			addAll("large", 1_000, 6, "");
			assertThat(next(BatchSchedulerTests.this.local).items()).hasSize(4);
		}

		@Test
		void waitForALocalEndpointThatIsFreeInTime() {
			addAll("running", 1_000, 1, "a");
			StageCall running = next(BatchSchedulerTests.this.local);
			addAll("waiting", 1_000, 2, "a");
			List<Endpoint> endpoints = List.of(BatchSchedulerTests.this.local, BatchSchedulerTests.this.remote);
			assertThat(BatchSchedulerTests.this.scheduler.next(endpoints, 0)).isEmpty();
			BatchSchedulerTests.this.scheduler.ended(running);
			assertThat(next(BatchSchedulerTests.this.local, BatchSchedulerTests.this.remote).endpoint())
				.isSameAs(BatchSchedulerTests.this.local);
		}

		@Test
		void doNotWaitForALocalEndpointIfTheyWouldBeLate() {
			addAll("running", 1_000, 1, "a");
			next(BatchSchedulerTests.this.local);
			addAll("urgent", 300, 2, "a");
			assertThat(next(BatchSchedulerTests.this.local, BatchSchedulerTests.this.remote).endpoint())
				.isSameAs(BatchSchedulerTests.this.remote);
		}

	}

	@Nested
	class Order {

		@Test
		void itemsOfMoreUrgentRequestsGoFirst() {
			for (int i = 0; i < 4; i++) {
				add("plain" + i, 2, 1_000);
			}
			add("urgent", 0, 1_200);
			StageCall call = BatchSchedulerTests.this.scheduler.next(List.of(BatchSchedulerTests.this.local), 0)
				.orElseThrow();
			assertThat(call.items().get(0).attemptId()).isEqualTo("urgent");
		}

		@Test
		void lateItemsWaitBehindThoseThatCanBeInTime() {
			for (int i = 0; i < 4; i++) {
				add("late" + i, 0, 100);
			}
			add("intime", 2, 900);
			BatchSchedulerTests.this.scheduler.expire(1, 0);
			StageCall call = BatchSchedulerTests.this.scheduler.next(List.of(BatchSchedulerTests.this.local), 0)
				.orElseThrow();
			assertThat(call.items().get(0).attemptId()).isEqualTo("intime");
			assertThat(call.items()).hasSize(4);
		}

		@Test
		void itemsThatCannotBeDoneBeforeTheyExpireAreRemoved() {
			WorkItem item = add("one", 0, 1_000);
			assertThat(BatchSchedulerTests.this.scheduler.expire(1, EXPIRES_AT_MS - 100)).containsExactly(item);
			assertThat(BatchSchedulerTests.this.scheduler.waitingCount()).isZero();
		}

	}

	@Nested
	class Queue {

		// One endpoint does four work items in 240 ms: 20 work items ahead take 1.2 s.
		@Test
		void anItemThatWouldExpireInTheQueueIsRemovedAtOnce() {
			for (int i = 0; i < 20; i++) {
				add("ahead" + i, 0, 50_000);
			}
			WorkItem expiring = new WorkItem(99, "expiring", 0, 0, "key", List.of(), "", 2, 50_100, 1_000, 10);
			BatchSchedulerTests.this.scheduler.add(expiring);
			assertThat(BatchSchedulerTests.this.scheduler.expire(1, 0)).containsExactly(expiring);
		}

		@Test
		void anItemThatWouldNotExpireWithMoreEndpointsIsKept() {
			for (int i = 0; i < 20; i++) {
				add("ahead" + i, 0, 50_000);
			}
			BatchSchedulerTests.this.scheduler
				.add(new WorkItem(99, "last", 0, 0, "key", List.of(), "", 2, 50_100, 1_000, 10));
			assertThat(BatchSchedulerTests.this.scheduler.expire(3, 0)).isEmpty();
		}

	}

	@Nested
	class ResultSpaceUse {

		@Test
		void resultsUseSpaceUntilTheyAreReleased() {
			List<Endpoint> endpoints = List.of(BatchSchedulerTests.this.local);
			BatchSchedulerTests.this.scheduler.add(item("one", 0, 1_000, 900, ""));
			StageCall call = BatchSchedulerTests.this.scheduler.next(endpoints, 0).orElseThrow();
			BatchSchedulerTests.this.scheduler.ended(call);
			BatchSchedulerTests.this.scheduler.recordResult(BatchSchedulerTests.this.local, "handle", 900, 0);
			BatchSchedulerTests.this.scheduler.add(item("two", 0, 1_000, 200, ""));
			assertThat(BatchSchedulerTests.this.scheduler.next(endpoints, 0)).isEmpty();
			BatchSchedulerTests.this.scheduler.release("local", "handle");
			assertThat(BatchSchedulerTests.this.scheduler.next(endpoints, 0)).isPresent();
		}

		@Test
		void resultsThatWereReadAreEvictedWhenSpaceIsNeeded() {
			BatchSchedulerTests.this.scheduler.recordResult(BatchSchedulerTests.this.local, "read", 300, 0);
			BatchSchedulerTests.this.scheduler.recordResult(BatchSchedulerTests.this.local, "unread", 300, 0);
			BatchSchedulerTests.this.scheduler.markEvictable("read");
			assertThat(BatchSchedulerTests.this.scheduler.evict(0)).isEmpty();
			BatchSchedulerTests.this.scheduler.add(item("two", 0, 1_000, 200, ""));
			assertThat(BatchSchedulerTests.this.scheduler.evict(0)).containsExactly("read");
			assertThat(BatchSchedulerTests.this.scheduler.evict(0)).isEmpty();
		}

		@Test
		void anEndpointOutOfSpaceGetsNoCallUntilUntrackedResultsExpire() {
			List<Endpoint> endpoints = List.of(BatchSchedulerTests.this.local);
			BatchSchedulerTests.this.scheduler.recordResult(BatchSchedulerTests.this.local, "own", 200, 0);
			BatchSchedulerTests.this.scheduler.recordOutOfSpace(BatchSchedulerTests.this.local, 0);
			BatchSchedulerTests.this.scheduler.add(item("one", 0, 9_000, 200, ""));
			assertThat(BatchSchedulerTests.this.scheduler.next(endpoints, 0)).isEmpty();
			assertThat(BatchSchedulerTests.this.scheduler.next(endpoints, 400)).isEmpty();
			assertThat(BatchSchedulerTests.this.scheduler.next(endpoints, 2_000)).isPresent();
		}

		@Test
		void theReleaseOfAnUntrackedResultFreesSpace() {
			List<Endpoint> endpoints = List.of(BatchSchedulerTests.this.local);
			BatchSchedulerTests.this.scheduler.recordResult(BatchSchedulerTests.this.local, "own", 200, 0);
			BatchSchedulerTests.this.scheduler.recordOutOfSpace(BatchSchedulerTests.this.local, 0);
			BatchSchedulerTests.this.scheduler.add(item("one", 0, 9_000, 200, ""));
			BatchSchedulerTests.this.scheduler.release("local", "untracked");
			assertThat(BatchSchedulerTests.this.scheduler.next(endpoints, 0)).isPresent();
		}

		@Test
		void resultsExpire() {
			BatchSchedulerTests.this.scheduler.recordResult(BatchSchedulerTests.this.local, "handle", 1_000, 0);
			BatchSchedulerTests.this.scheduler.add(item("two", 0, 9_000, 200, ""));
			assertThat(BatchSchedulerTests.this.scheduler.next(List.of(BatchSchedulerTests.this.local), 3_999))
				.isEmpty();
			assertThat(BatchSchedulerTests.this.scheduler.next(List.of(BatchSchedulerTests.this.local), 4_000))
				.isPresent();
		}

	}

	@Nested
	class Locality {

		@Test
		void theEndpointInTheDomainOfTheInputsIsChosen() {
			BatchSchedulerTests.this.scheduler.add(item("one", 0, 1_000, 10, "b"));
			List<Endpoint> endpoints = List.of(BatchSchedulerTests.this.local, BatchSchedulerTests.this.remote);
			assertThat(BatchSchedulerTests.this.scheduler.next(endpoints, 0).orElseThrow().endpoint())
				.isSameAs(BatchSchedulerTests.this.remote);
		}

		@Test
		void localItemsComeFirstAndRemoteOnesFillTheBatch() {
			BatchSchedulerTests.this.scheduler.add(item("first", 0, 1_000, 10, "a"));
			BatchSchedulerTests.this.scheduler.add(item("second", 0, 1_010, 10, "b"));
			BatchSchedulerTests.this.scheduler.add(item("third", 0, 1_020, 10, "a"));
			StageCall call = BatchSchedulerTests.this.scheduler.next(List.of(BatchSchedulerTests.this.local), 0)
				.orElseThrow();
			assertThat(call.items()).extracting(WorkItem::attemptId).containsExactly("first", "third", "second");
		}

	}

}
