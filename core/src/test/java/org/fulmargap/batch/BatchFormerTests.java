package org.fulmargap.batch;

import java.util.List;

import org.fulmargap.catalog.StageCapacity;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.Endpoints;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link BatchFormer}.
 */
class BatchFormerTests {

	private static final long FAR_MS = 100_000;

	private final StageCapacity capacity = new StageCapacity(1, 2, 4, 200, 10, 1_000, 4_000);

	private final BatchFormer former = new BatchFormer(this.capacity);

	private final Endpoint near = Endpoints.ready("near", "a");

	private final Endpoint far = Endpoints.ready("far", "b");

	private long itemIds;

	private WorkItem item(String request, int priority, long dueAtMs, long bytes, String domain) {
		this.itemIds++;
		return new WorkItem(this.itemIds, request, 0, 0, "key", List.of(), domain, priority, dueAtMs, FAR_MS, bytes);
	}

	private WorkItem add(String request, int priority, long dueAtMs) {
		WorkItem item = item(request, priority, dueAtMs, 10, "");
		this.former.add(item);
		return item;
	}

	@Nested
	class Sharing {

		@Test
		void itemsOfSeveralRequestsShareACall() {
			add("one", 0, 1_000);
			add("two", 0, 1_100);
			StageCall call = BatchFormerTests.this.former.next(List.of(BatchFormerTests.this.near), 0).orElseThrow();
			assertThat(call.items()).extracting(WorkItem::attemptId).containsExactly("one", "two");
			assertThat(call.expectedMs()).isEqualTo(220);
		}

		@Test
		void anEndpointGetsItsNextCallWhenTheOneBeforeIsDone() {
			List<Endpoint> endpoints = List.of(BatchFormerTests.this.near);
			add("one", 0, 1_000);
			StageCall first = BatchFormerTests.this.former.next(endpoints, 0).orElseThrow();
			add("two", 0, 1_000);
			assertThat(BatchFormerTests.this.former.next(endpoints, 0)).isEmpty();
			BatchFormerTests.this.former.ended(first);
			assertThat(BatchFormerTests.this.former.next(endpoints, 0)).isPresent();
		}

		@Test
		void aCallHoldsNoMoreItemsThanTheEndpointTakes() {
			for (int i = 0; i < 6; i++) {
				add("request" + i, 0, 1_000);
			}
			StageCall call = BatchFormerTests.this.former.next(List.of(BatchFormerTests.this.near), 0).orElseThrow();
			assertThat(call.items()).hasSize(4);
			assertThat(BatchFormerTests.this.former.waitingCount()).isEqualTo(2);
		}

	}

	@Nested
	class WholeRequests {

		private void addAll(String request, long dueAtMs, int items, String domain) {
			for (int i = 0; i < items; i++) {
				BatchFormerTests.this.former.add(item(request, 0, dueAtMs, 10, domain));
			}
		}

		private StageCall next(Endpoint... endpoints) {
			return BatchFormerTests.this.former.next(List.of(endpoints), 0).orElseThrow();
		}

		@Test
		void arePutIntoOneCall() {
			addAll("one", 1_000, 3, "");
			addAll("two", 1_010, 2, "");
			addAll("three", 1_020, 1, "");
			StageCall call = next(BatchFormerTests.this.near);
			assertThat(call.items()).extracting(WorkItem::attemptId).containsExactly("one", "one", "one", "three");
		}

		@Test
		void areSplitWhileFullCallsWait() {
			addAll("one", 1_000, 3, "");
			addAll("two", 1_010, 3, "");
			addAll("three", 1_020, 3, "");
			StageCall call = next(BatchFormerTests.this.near);
			assertThat(call.items()).extracting(WorkItem::attemptId).containsExactly("one", "one", "one", "two");
		}

		@Test
		void areSplitWhenOneCallCannotTakeThem() {
			addAll("large", 1_000, 6, "");
			assertThat(next(BatchFormerTests.this.near).items()).hasSize(4);
		}

		@Test
		void waitForTheEndpointBesideTheirInputsIfItIsFreeInTime() {
			addAll("running", 1_000, 1, "a");
			StageCall running = next(BatchFormerTests.this.near);
			addAll("patient", 1_000, 2, "a");
			List<Endpoint> endpoints = List.of(BatchFormerTests.this.near, BatchFormerTests.this.far);
			assertThat(BatchFormerTests.this.former.next(endpoints, 0)).isEmpty();
			BatchFormerTests.this.former.ended(running);
			assertThat(next(BatchFormerTests.this.near, BatchFormerTests.this.far).endpoint())
				.isSameAs(BatchFormerTests.this.near);
		}

		@Test
		void doNotWaitForTheEndpointBesideTheirInputsIfTheyWouldBeLate() {
			addAll("running", 1_000, 1, "a");
			next(BatchFormerTests.this.near);
			addAll("urgent", 300, 2, "a");
			assertThat(next(BatchFormerTests.this.near, BatchFormerTests.this.far).endpoint())
				.isSameAs(BatchFormerTests.this.far);
		}

	}

	@Nested
	class Order {

		@Test
		void moreUrgentRequestsGoFirst() {
			for (int i = 0; i < 4; i++) {
				add("plain" + i, 2, 1_000);
			}
			add("urgent", 0, 1_200);
			StageCall call = BatchFormerTests.this.former.next(List.of(BatchFormerTests.this.near), 0).orElseThrow();
			assertThat(call.items().get(0).attemptId()).isEqualTo("urgent");
		}

		@Test
		void itemsThatAreLateWaitBehindThoseThatCanBeInTime() {
			for (int i = 0; i < 4; i++) {
				add("late" + i, 0, 100);
			}
			add("intime", 2, 900);
			BatchFormerTests.this.former.expire(1, 0);
			StageCall call = BatchFormerTests.this.former.next(List.of(BatchFormerTests.this.near), 0).orElseThrow();
			assertThat(call.items().get(0).attemptId()).isEqualTo("intime");
			assertThat(call.items()).hasSize(4);
		}

		@Test
		void itemsThatNobodyCanUseAnyMoreAreRemoved() {
			WorkItem item = add("one", 0, 1_000);
			assertThat(BatchFormerTests.this.former.expire(1, FAR_MS - 100)).containsExactly(item);
			assertThat(BatchFormerTests.this.former.waitingCount()).isZero();
		}

	}

	@Nested
	class Hopeless {

		// One endpoint does four pieces in 240 ms: 20 pieces before the last one take 1.2
		// s.
		@Test
		void anItemBehindMoreThanCanBeDoneInTimeIsRefusedAtOnce() {
			for (int i = 0; i < 20; i++) {
				add("before" + i, 0, 50_000);
			}
			WorkItem hopeless = new WorkItem(99, "hopeless", 0, 0, "key", List.of(), "", 2, 50_100, 1_000, 10);
			BatchFormerTests.this.former.add(hopeless);
			assertThat(BatchFormerTests.this.former.expire(1, 0)).containsExactly(hopeless);
		}

		@Test
		void moreEndpointsGiveItAChance() {
			for (int i = 0; i < 20; i++) {
				add("before" + i, 0, 50_000);
			}
			BatchFormerTests.this.former
				.add(new WorkItem(99, "last", 0, 0, "key", List.of(), "", 2, 50_100, 1_000, 10));
			assertThat(BatchFormerTests.this.former.expire(3, 0)).isEmpty();
		}

	}

	@Nested
	class Room {

		@Test
		void resultsTakeUpRoomUntilTheyAreReleased() {
			List<Endpoint> endpoints = List.of(BatchFormerTests.this.near);
			BatchFormerTests.this.former.add(item("one", 0, 1_000, 900, ""));
			StageCall call = BatchFormerTests.this.former.next(endpoints, 0).orElseThrow();
			BatchFormerTests.this.former.ended(call);
			BatchFormerTests.this.former.hold(BatchFormerTests.this.near, "handle", 900, 0);
			BatchFormerTests.this.former.add(item("two", 0, 1_000, 200, ""));
			assertThat(BatchFormerTests.this.former.next(endpoints, 0)).isEmpty();
			BatchFormerTests.this.former.release("near", "handle");
			assertThat(BatchFormerTests.this.former.next(endpoints, 0)).isPresent();
		}

		@Test
		void resultsThatWereReadGoWhenOthersNeedTheRoom() {
			BatchFormerTests.this.former.hold(BatchFormerTests.this.near, "read", 300, 0);
			BatchFormerTests.this.former.hold(BatchFormerTests.this.near, "unread", 300, 0);
			BatchFormerTests.this.former.spare("read");
			assertThat(BatchFormerTests.this.former.reclaim(0)).isEmpty();
			BatchFormerTests.this.former.add(item("two", 0, 1_000, 200, ""));
			assertThat(BatchFormerTests.this.former.reclaim(0)).containsExactly("read");
			assertThat(BatchFormerTests.this.former.reclaim(0)).isEmpty();
		}

		@Test
		void anEndpointWithoutRoomForResultsGetsNothingUntilResultsOfOtherVmsAreGone() {
			List<Endpoint> endpoints = List.of(BatchFormerTests.this.near);
			BatchFormerTests.this.former.hold(BatchFormerTests.this.near, "own", 200, 0);
			BatchFormerTests.this.former.full(BatchFormerTests.this.near, 0);
			BatchFormerTests.this.former.add(item("one", 0, 9_000, 200, ""));
			assertThat(BatchFormerTests.this.former.next(endpoints, 0)).isEmpty();
			assertThat(BatchFormerTests.this.former.next(endpoints, 400)).isEmpty();
			assertThat(BatchFormerTests.this.former.next(endpoints, 2_000)).isPresent();
		}

		@Test
		void aResultOfAnotherVmThatGoesMakesRoom() {
			List<Endpoint> endpoints = List.of(BatchFormerTests.this.near);
			BatchFormerTests.this.former.hold(BatchFormerTests.this.near, "own", 200, 0);
			BatchFormerTests.this.former.full(BatchFormerTests.this.near, 0);
			BatchFormerTests.this.former.add(item("one", 0, 9_000, 200, ""));
			BatchFormerTests.this.former.release("near", "foreign");
			assertThat(BatchFormerTests.this.former.next(endpoints, 0)).isPresent();
		}

		@Test
		void resultsExpire() {
			BatchFormerTests.this.former.hold(BatchFormerTests.this.near, "handle", 1_000, 0);
			BatchFormerTests.this.former.add(item("two", 0, 9_000, 200, ""));
			assertThat(BatchFormerTests.this.former.next(List.of(BatchFormerTests.this.near), 3_999)).isEmpty();
			assertThat(BatchFormerTests.this.former.next(List.of(BatchFormerTests.this.near), 4_000)).isPresent();
		}

	}

	@Nested
	class Domains {

		@Test
		void theEndpointBesideTheInputsIsChosen() {
			BatchFormerTests.this.former.add(item("one", 0, 1_000, 10, "b"));
			List<Endpoint> endpoints = List.of(BatchFormerTests.this.near, BatchFormerTests.this.far);
			assertThat(BatchFormerTests.this.former.next(endpoints, 0).orElseThrow().endpoint())
				.isSameAs(BatchFormerTests.this.far);
		}

		@Test
		void itemsWithInputsElsewhereFillTheCallUp() {
			BatchFormerTests.this.former.add(item("first", 0, 1_000, 10, "a"));
			BatchFormerTests.this.former.add(item("second", 0, 1_010, 10, "b"));
			BatchFormerTests.this.former.add(item("third", 0, 1_020, 10, "a"));
			StageCall call = BatchFormerTests.this.former.next(List.of(BatchFormerTests.this.near), 0).orElseThrow();
			assertThat(call.items()).extracting(WorkItem::attemptId).containsExactly("first", "third", "second");
		}

	}

}
