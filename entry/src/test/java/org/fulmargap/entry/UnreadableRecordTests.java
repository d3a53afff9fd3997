package org.fulmargap.entry;

import java.util.List;

import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.StorePage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against records of other writers that fill the messages to peers.
 */
class UnreadableRecordTests {

	private final TopicView view = new TopicView();

	private void apply(KeyedRecord record) {
		this.view.apply(new StorePage(List.of(record), record.offset() + 1, false));
	}

	@Test
	void theValueOfARefusedRecordIsNotRelayed() {
		KeyedRecord refused = new KeyedRecord("key", new byte[4_000], 0);
		apply(refused);
		this.view.dropValue(refused);
		KeyedRecord relayed = this.view.since(0).records().get(0);
		assertThat(relayed.value()).hasSize(1);
		assertThat(relayed.isRemoval()).isFalse();
		assertThat(relayed.offset()).isZero();
	}

	@Test
	void aNewerRecordOfTheSameKeyKeepsItsValue() {
		KeyedRecord refused = new KeyedRecord("key", new byte[4_000], 0);
		apply(refused);
		apply(new KeyedRecord("key", new byte[] { 1, 2, 3 }, 1));
		this.view.dropValue(refused);
		assertThat(this.view.since(0).records().get(0).value()).containsExactly(1, 2, 3);
	}

}
