package org.fulmargap.entry;

import java.util.List;

import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.StorePage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link TopicView}.
 */
class TopicViewTests {

	private final TopicView view = new TopicView();

	private static KeyedRecord record(String key, int value, long offset) {
		return new KeyedRecord(key, (value > 0) ? new byte[] { (byte) value } : new byte[0], offset);
	}

	private static StorePage page(boolean complete, long next, KeyedRecord... records) {
		return new StorePage(List.of(records), next, complete);
	}

	@Test
	void anOldRecordDoesNotReplaceANewerOne() {
		this.view.apply(page(false, 6, record("config", 2, 5)));
		assertThat(this.view.apply(page(false, 4, record("config", 1, 3))).records()).isEmpty();
		assertThat(this.view.position().offset()).isEqualTo(6);
		assertThat(this.view.since(0).records().get(0).value()).containsExactly(2);
	}

	@Test
	void sinceReturnsTheRecordsFromAnOffsetOn() {
		this.view.apply(page(false, 3, record("one", 1, 0), record("two", 1, 1), record("one", 0, 2)));
		assertThat(this.view.since(2).records()).extracting(KeyedRecord::key).containsExactly("one");
		assertThat(this.view.since(-1).records()).extracting(KeyedRecord::key).containsExactly("two");
		assertThat(this.view.since(-1).isComplete()).isTrue();
	}

	@Test
	void keysThatACompleteListingLacksAreRemoved() {
		this.view.apply(page(false, 2, record("one", 1, 0), record("two", 1, 1)));
		StorePage fresh = this.view.apply(page(true, 5, record("two", 1, 1)));
		assertThat(fresh.records()).extracting(KeyedRecord::key).containsExactly("one");
		assertThat(fresh.records().get(0).isRemoval()).isTrue();
	}

	@Test
	void recordsOfAVmThatKnowsNoHistoriesDoNotHideThoseOfTheRestoredStore() {
		this.view.apply(new StorePage(2, List.of(record("config", 1, 3)), 4, true));
		assertThat(this.view.accepts(new StorePage(0, List.of(record("config", 2, 9)), 10, false))).isFalse();
		assertThat(this.view.accepts(new StorePage(0, List.of(record("config", 2, 9)), 10, true))).isFalse();
		this.view.apply(new StorePage(2, List.of(record("config", 3, 4)), 5, false));
		assertThat(this.view.listing().records().get(0).value()).containsExactly(3);
	}

}
