package org.fulmargap.server;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fulmargap.config.Json;
import org.fulmargap.config.PatchDecision;
import org.fulmargap.http.OperatorActions;
import org.fulmargap.ledger.ConfigService;
import org.fulmargap.ledger.LogClaimService;
import org.fulmargap.ledger.LogConfigService;
import org.fulmargap.ledger.TimerQueue;
import org.fulmargap.membership.AdminOrder;
import org.fulmargap.membership.MemberStatus;
import org.fulmargap.membership.MembershipView;
import org.fulmargap.peer.OrderService;

/**
 * Executes the actions of the operator API.
 */
final class Operations implements OperatorActions {

	private static final long CONFIRM_WAIT_MS = 2_000;

	private static final long EVICT_WAIT_MS = 3_000;

	private static final long EVICT_POLL_MS = 50;

	private final LogConfigService config;

	private final LogClaimService claims;

	private final MembershipView membership;

	private final OrderService orders;

	private final Lifecycle lifecycle;

	private final TimerQueue timers;

	private final LongSupplier clock;

	Operations(LogConfigService config, LogClaimService claims, MembershipView membership, OrderService orders,
			Lifecycle lifecycle, TimerQueue timers, LongSupplier clock) {
		this.config = config;
		this.claims = claims;
		this.membership = membership;
		this.orders = orders;
		this.lifecycle = lifecycle;
		this.timers = timers;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<JsonNode> order(Target target, String name, boolean out) {
		AdminOrder.Target orderTarget = (target == Target.ENDPOINT) ? AdminOrder.Target.endpoint(name)
				: AdminOrder.Target.failureDomain(name);
		AdminOrder.State state = out ? AdminOrder.State.OUT : AdminOrder.State.IN;
		return this.orders.issue(orderTarget, state, CONFIRM_WAIT_MS, this.clock.getAsLong()).thenApply((result) -> {
			ObjectNode node = Json.mapper().createObjectNode();
			node.put("target", name);
			node.put("state", state.name());
			node.put("in_force", result.isInForce());
			result.confirmed().forEach(node.putArray("confirmed")::add);
			result.notConfirmed().forEach(node.putArray("not_confirmed")::add);
			return node;
		});
	}

	@Override
	public JsonNode members() {
		ObjectNode node = Json.mapper().createObjectNode();
		ArrayNode list = node.putArray("members");
		for (MemberStatus member : this.membership.members(this.clock.getAsLong())) {
			list.addObject()
				.put("vm", member.vm())
				.put("incarnation", member.incarnation().toString())
				.put("failure_domain", member.failureDomain())
				.put("joined", member.joined())
				.put("alive", member.alive())
				.put("leaving", member.leaving())
				.put("last_heard_at_ms", member.lastContactMs())
				.put("config_version", member.configVersion())
				.put("in_flight", member.inFlight());
		}
		ArrayNode orderList = node.putArray("orders");
		this.orders.current()
			.list()
			.forEach((order) -> orderList.addObject()
				.put("kind", order.target().kind().label())
				.put("target", order.target().name())
				.put("state", order.state().name()));
		return node;
	}

	@Override
	public Optional<ConfigService.Decision> patchDecision(String patchId) {
		return this.config.decision(patchId).map(Operations::decision);
	}

	private static ConfigService.Decision decision(PatchDecision recorded) {
		return new ConfigService.Decision(recorded.accepted(), recorded.version(),
				Optional.ofNullable(recorded.rejection())
					.map((rejection) -> ConfigService.PatchRefusal.valueOf(rejection.name())),
				recorded.message());
	}

	@Override
	public CompletableFuture<Boolean> evict(String vm) {
		CompletableFuture<Boolean> evicted = new CompletableFuture<>();
		var member = this.config.state().members().get(vm);
		if (member == null) {
			evicted.complete(false);
			return evicted;
		}
		this.config.evict(vm, member.incarnation(), "ordered by an operator");
		awaitEvicted(vm, member.incarnation(), this.clock.getAsLong() + EVICT_WAIT_MS, evicted);
		return evicted;
	}

	private void awaitEvicted(String vm, String incarnation, long endMs, CompletableFuture<Boolean> evicted) {
		if (!this.config.state().isMember(vm, incarnation)) {
			evicted.complete(true);
		}
		else if (this.clock.getAsLong() >= endMs) {
			evicted.complete(false);
		}
		else {
			this.timers.schedule(EVICT_POLL_MS, () -> awaitEvicted(vm, incarnation, endMs, evicted));
		}
	}

	@Override
	public Readiness readiness() {
		if (this.lifecycle.isDraining()) {
			return new Readiness(Optional.of("DRAINING"), false);
		}
		if (!this.config.current().known()) {
			return new Readiness(Optional.of("CONFIG_UNKNOWN"), false);
		}
		if (!this.config.isMember() && !this.config.isLogUnresponsive()) {
			return new Readiness(Optional.of("NOT_JOINED"), false);
		}
		return new Readiness(Optional.empty(), this.config.isMember() && this.claims.isComplete());
	}

}
