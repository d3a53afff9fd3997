package org.fulmargap.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fulmargap.claim.ClaimLedger;
import org.fulmargap.claim.ClaimRecord;
import org.fulmargap.claim.ClaimView;

/**
 * Records that wait to be appended, in order. A record stays until its append is
 * confirmed or it is seen in the stream.
 */
final class AppendQueue {

	/** The log accepts 1 MiB; half of it leaves room for characters of several bytes. */
	private static final int MAX_BATCH_CHARS = 400 * 1024;

	private static final int MAX_BATCH_RECORDS = 512;

	/** The value tells whether the record was part of an append that may have arrived. */
	private final Map<ClaimRecord, Boolean> records = new LinkedHashMap<>();

	synchronized void add(ClaimRecord record) {
		this.records.putIfAbsent(record, Boolean.FALSE);
	}

	/**
	 * Removes a record.
	 * @param record the record
	 * @return whether the record may be in the stream
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
	synchronized void removeSeen(ClaimLedger ledger) {
		this.records.keySet().removeIf((record) -> isSeen(record, ledger));
	}

	/**
	 * Removes checkpoints. They are planned anew from the ledger after a failed append.
	 */
	synchronized void removeCheckpoints() {
		this.records.keySet()
			.removeIf((record) -> record instanceof ClaimRecord.Checkpoint || record instanceof ClaimRecord.Coverage);
	}

	synchronized boolean isEmpty() {
		return this.records.isEmpty();
	}

	private static boolean isSeen(ClaimRecord record, ClaimLedger ledger) {
		if (record instanceof ClaimRecord.Claim claim) {
			return ledger.hasSeen(claim.key(), claim.attemptId());
		}
		if (record instanceof ClaimRecord.Outcome outcome) {
			return ledger.owner(outcome.key()).flatMap(ClaimView::outcome).isPresent();
		}
		return record instanceof ClaimRecord.Release release && ledger.isReleased(release.key(), release.attemptId());
	}

}
