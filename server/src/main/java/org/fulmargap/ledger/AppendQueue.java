package org.fulmargap.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fulmargap.claim.ClaimLedger;
import org.fulmargap.claim.ClaimRecord;
import org.fulmargap.claim.ClaimView;

/**
 * Records to append to the claims stream, in order. A record is removed when its append
 * is confirmed or when it was read from the stream.
 */
final class AppendQueue {

	/**
	 * The maximum size of a batch in characters. The log accepts 1 MiB per append; less
	 * than half of it leaves space for characters that take several bytes.
	 */
	private static final int MAX_BATCH_CHARS = 400 * 1024;

	private static final int MAX_BATCH_RECORDS = 512;

	/** The value is whether the record was part of a batch, so that it may be stored. */
	private final Map<ClaimRecord, Boolean> records = new LinkedHashMap<>();

	synchronized void add(ClaimRecord record) {
		this.records.putIfAbsent(record, Boolean.FALSE);
	}

	/**
	 * Removes a record.
	 * @param record the record
	 * @return {@code true} if the record may be in the stream
	 */
	synchronized boolean remove(ClaimRecord record) {
		Boolean sent = this.records.remove(record);
		return sent == null || sent;
	}

	synchronized List<ClaimRecord> takeBatch() {
		List<ClaimRecord> batch = new ArrayList<>();
		int chars = 0;
		for (Map.Entry<ClaimRecord, Boolean> entry : this.records.entrySet()) {
			chars += entry.getKey().jsonChars();
			if (batch.size() == MAX_BATCH_RECORDS || (chars > MAX_BATCH_CHARS && !batch.isEmpty())) {
				break;
			}
			entry.setValue(Boolean.TRUE);
			batch.add(entry.getKey());
		}
		return batch;
	}

	synchronized void confirm(List<ClaimRecord> batch) {
		batch.forEach(this.records::remove);
	}

	/**
	 * Removes the records that the ledger has read from the stream.
	 * @param ledger the ledger
	 */
	synchronized void removeStored(ClaimLedger ledger) {
		this.records.keySet().removeIf((record) -> isStored(record, ledger));
	}

	/**
	 * Removes checkpoints and coverage records. After a failed append, the records that
	 * are still due are computed again from the ledger.
	 */
	synchronized void removeCheckpoints() {
		this.records.keySet()
			.removeIf((record) -> record instanceof ClaimRecord.Checkpoint || record instanceof ClaimRecord.Coverage);
	}

	synchronized boolean isEmpty() {
		return this.records.isEmpty();
	}

	private static boolean isStored(ClaimRecord record, ClaimLedger ledger) {
		if (record instanceof ClaimRecord.Claim claim) {
			return ledger.hasSeen(claim.key(), claim.attemptId());
		}
		if (record instanceof ClaimRecord.Outcome outcome) {
			return ledger.owner(outcome.key()).flatMap(ClaimView::outcome).isPresent();
		}
		return record instanceof ClaimRecord.Release release && ledger.isReleased(release.key(), release.attemptId());
	}

}
