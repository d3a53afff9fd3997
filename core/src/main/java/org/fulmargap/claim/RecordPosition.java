package org.fulmargap.claim;

/**
 * Position of a record in the claims stream.
 *
 * @param offset the offset of the batch
 * @param index the index within the batch
 * @param appendedAtMs when the log stored the batch, milliseconds since the epoch
 */
record RecordPosition(long offset, int index, long appendedAtMs) {

	long rank() {
		return this.offset * ClaimBatch.MAX_RECORDS + this.index;
	}

}
