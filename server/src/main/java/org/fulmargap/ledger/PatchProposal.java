package org.fulmargap.ledger;

import java.util.concurrent.CompletableFuture;

import org.fulmargap.config.ConfigRecord;

/**
 * A patch that an operator submitted to this entry VM. The fields are guarded by the lock
 * of {@link ConfigTable}.
 */
final class PatchProposal {

	final ConfigRecord.Propose record;

	final CompletableFuture<ConfigService.Decision> future = new CompletableFuture<>();

	/** Whether the proposal may be in the stream. */
	boolean sent;

	PatchProposal(ConfigRecord.Propose record) {
		this.record = record;
	}

}
