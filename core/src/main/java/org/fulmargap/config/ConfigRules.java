package org.fulmargap.config;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Pure transition function of the configuration state. Every entry VM applies it to the
 * same records and therefore reaches the same state.
 */
final class ConfigRules {

	private ConfigRules() {
	}

	static Transition apply(ConfigState state, long offset, ConfigRecord record) {
		if (record instanceof ConfigRecord.Propose propose) {
			return propose(state, offset, propose);
		}
		if (record instanceof ConfigRecord.Ack ack) {
			return ack(state, offset, ack);
		}
		if (record instanceof ConfigRecord.Commit commit) {
			return commit(state, offset, commit);
		}
		if (record instanceof ConfigRecord.Abort abort) {
			return abort(state, offset, abort);
		}
		if (record instanceof ConfigRecord.Join join) {
			return join(state, offset, join.member());
		}
		if (record instanceof ConfigRecord.Leave leave) {
			return remove(state, offset, leave.vm(), leave.incarnation());
		}
		if (record instanceof ConfigRecord.Evict evict) {
			return remove(state, offset, evict.vm(), evict.incarnation());
		}
		if (record instanceof ConfigRecord.Order order) {
			return order(state, offset, order.order());
		}
		return ignored(state, offset, "snapshot");
	}

	static Configuration configuration(JsonNode document) throws JsonProcessingException {
		Configuration configuration = Json.mapper().treeToValue(document, Configuration.class);
		if (configuration == null) {
			throw new RecordFormatException("the document is null");
		}
		return configuration;
	}

	private static Transition propose(ConfigState state, long offset, ConfigRecord.Propose propose) {
		String patchId = propose.patchId();
		if (isPending(state, patchId) || state.decision(patchId).isPresent()) {
			return ignored(state, offset, "repeated proposal of patch " + patchId);
		}
		if (state.pending().isPresent()) {
			return refused(state, offset, patchId, PatchRejection.CONFLICT,
					"patch " + state.pending().get().patchId() + " is pending");
		}
		if (propose.expectedVersion() != state.version()) {
			return refused(state, offset, patchId, PatchRejection.STALE_VERSION,
					"the version in force is " + state.version() + ", not " + propose.expectedVersion());
		}
		JsonNode result = MergePatch.apply(state.document(), propose.mergePatch());
		try {
			configuration(result);
		}
		catch (JsonProcessingException ex) {
			return refused(state, offset, patchId, PatchRejection.INVALID, ex.getOriginalMessage());
		}
		Map<String, String> required = new TreeMap<>();
		state.members().values().forEach((member) -> required.put(member.vm(), member.incarnation()));
		PendingPatch pending = new PendingPatch(patchId, propose.proposedAtMs(), result, required, java.util.Set.of());
		return new Transition(state.withPending(pending),
				List.of(new ConfigEvent(ConfigEvent.Type.PROPOSED, offset, "patch " + patchId)));
	}

	private static Transition ack(ConfigState state, long offset, ConfigRecord.Ack ack) {
		if (!isPending(state, ack.patchId())
				|| !state.pending().orElseThrow().needsAckFrom(ack.vm(), ack.incarnation())) {
			return ignored(state, offset, "acknowledgement of patch " + ack.patchId() + " by " + ack.incarnation());
		}
		return new Transition(state.withPending(state.pending().orElseThrow().withAck(ack.vm())), List.of());
	}

	private static Transition commit(ConfigState state, long offset, ConfigRecord.Commit commit) {
		if (!isPending(state, commit.patchId())) {
			return ignored(state, offset, "commit of patch " + commit.patchId());
		}
		PendingPatch pending = state.pending().orElseThrow();
		if (!pending.missingAcks().isEmpty()) {
			return new Transition(state, List.of(new ConfigEvent(ConfigEvent.Type.UNACKNOWLEDGED_COMMIT, offset,
					"patch " + commit.patchId() + " is not acknowledged by " + pending.missingAcks())));
		}
		ConfigState next = state.committed(pending);
		return new Transition(next, List.of(new ConfigEvent(ConfigEvent.Type.COMMITTED, offset,
				"patch " + commit.patchId() + " version " + next.version())));
	}

	private static Transition abort(ConfigState state, long offset, ConfigRecord.Abort abort) {
		if (!isPending(state, abort.patchId())) {
			return ignored(state, offset, "abort of patch " + abort.patchId());
		}
		PendingPatch pending = state.pending().orElseThrow();
		String message = abort.reason() + "; not acknowledged by " + pending.missingAcks();
		return new Transition(state.refused(abort.patchId(), PatchRejection.NOT_ACKNOWLEDGED, message, null),
				List.of(new ConfigEvent(ConfigEvent.Type.REFUSED, offset,
						"patch " + abort.patchId() + " " + PatchRejection.NOT_ACKNOWLEDGED)));
	}

	private static Transition join(ConfigState state, long offset, Member member) {
		if (member.equals(state.members().get(member.vm()))) {
			return ignored(state, offset, "repeated join of " + member.incarnation());
		}
		Map<String, Member> members = new TreeMap<>(state.members());
		members.put(member.vm(), member);
		// The earlier incarnation of the VM can no longer acknowledge. The new one read
		// the proposal before it joined and treats it as in doubt until it is decided.
		return new Transition(state.withMembers(members, withoutMember(state, member.vm())),
				List.of(new ConfigEvent(ConfigEvent.Type.JOINED, offset, member.incarnation())));
	}

	private static Transition remove(ConfigState state, long offset, String vm, String incarnation) {
		if (!state.isMember(vm, incarnation)) {
			return ignored(state, offset, "removal of " + incarnation);
		}
		Map<String, Member> members = new TreeMap<>(state.members());
		members.remove(vm);
		return new Transition(state.withMembers(members, withoutMember(state, vm)),
				List.of(new ConfigEvent(ConfigEvent.Type.REMOVED, offset, incarnation)));
	}

	private static Transition order(ConfigState state, long offset, OrderRegister order) {
		OrderRegister winner = order.merge(state.orders().get(order.target()));
		if (winner.equals(state.orders().get(order.target()))) {
			return ignored(state, offset, "order for " + order.target());
		}
		Map<String, OrderRegister> orders = new TreeMap<>(state.orders());
		orders.put(order.target(), winner);
		return new Transition(state.withOrders(orders),
				List.of(new ConfigEvent(ConfigEvent.Type.ORDERED, offset, winner.toString())));
	}

	private static PendingPatch withoutMember(ConfigState state, String vm) {
		return state.pending().map((pending) -> pending.withoutMember(vm)).orElse(null);
	}

	private static boolean isPending(ConfigState state, String patchId) {
		return state.pending().filter((pending) -> pending.patchId().equals(patchId)).isPresent();
	}

	private static Transition refused(ConfigState state, long offset, String patchId, PatchRejection rejection,
			String message) {
		return new Transition(state.refused(patchId, rejection, message, state.pendingOrNull()),
				List.of(new ConfigEvent(ConfigEvent.Type.REFUSED, offset, "patch " + patchId + " " + rejection)));
	}

	private static Transition ignored(ConfigState state, long offset, String detail) {
		return new Transition(state, List.of(new ConfigEvent(ConfigEvent.Type.IGNORED, offset, detail)));
	}

	/**
	 * Result of applying one record.
	 *
	 * @param state the state after the record
	 * @param events the events to report
	 */
	record Transition(ConfigState state, List<ConfigEvent> events) {
	}

}
