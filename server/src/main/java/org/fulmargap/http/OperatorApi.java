package org.fulmargap.http;

import java.util.Optional;
import java.util.OptionalLong;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.http.Context;
import org.fulmargap.config.Json;
import org.fulmargap.ledger.ConfigService;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP API for operators, on the admin port.
 */
public final class OperatorApi implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(OperatorApi.class);

	private static final int MAX_THREADS = 12;

	private static final int MAX_BODY_BYTES = 1 << 20;

	private final ConfigService config;

	private final OperatorActions actions;

	private final Timeline timeline;

	private final MetricRegistry metrics;

	private final PatchHistory patches = new PatchHistory();

	private final Javalin javalin;

	/**
	 * Creates the API. It does not listen yet.
	 * @param config the configuration service
	 * @param actions the actions and queries other than changes of the configuration
	 * @param timeline the timeline that operators can query
	 * @param metrics the metrics to report
	 */
	public OperatorApi(ConfigService config, OperatorActions actions, Timeline timeline, MetricRegistry metrics) {
		this.config = config;
		this.actions = actions;
		this.timeline = timeline;
		this.metrics = metrics;
		this.javalin = HttpServers.create(MAX_THREADS, (routes) -> {
			routes.get("/v1/config", this::readConfig);
			routes.post("/v1/config/patches", this::patch);
			routes.get("/v1/config/patches/{id}", this::readPatch);
			for (OperatorActions.Target target : OperatorActions.Target.values()) {
				routes.put("/v1/" + target.path() + "/{name}/state", (ctx) -> order(ctx, target));
			}
			routes.get("/v1/members", (ctx) -> json(ctx, 200, this.actions.members()));
			routes.post("/v1/members/{vm}/evict", this::evict);
			routes.get("/v1/timeline", this::readTimeline);
			routes.get("/health/live", (ctx) -> json(ctx, 200, Json.mapper().createObjectNode().put("live", true)));
			routes.get("/health/ready", this::ready);
			routes.get("/metrics", (ctx) -> json(ctx, 200, MetricsReport.of(this.metrics)));
			routes.exception(FulmargapException.class, (ex, ctx) -> refuse(ctx, ex));
			routes.exception(Exception.class, (ex, ctx) -> {
				LOG.error("operator request {} failed unexpectedly", ctx.path(), ex);
				refuse(ctx, new FulmargapException(FailureType.STAGE_FAILED, "INTERNAL_ERROR",
						"the request failed unexpectedly"));
			});
			routes.error(404, (ctx) -> {
				if (!ctx.res().containsHeader(HttpServers.REQUEST_ID_HEADER)) {
					ctx.contentType("application/json").result(HttpServers.unknownPath(ctx.path()).body());
				}
			});
		});
	}

	/**
	 * Starts to listen for connections.
	 * @param host the IP address
	 * @param port the port, zero for any free port
	 */
	public void start(String host, int port) {
		this.javalin.start(host, port);
	}

	/**
	 * Returns the port on which the API listens.
	 * @return the port
	 */
	public int port() {
		return this.javalin.port();
	}

	private void readConfig(Context ctx) {
		ConfigService.View view = this.config.current();
		ObjectNode node = Json.mapper().createObjectNode();
		node.put("version", view.version());
		node.put("known", view.known());
		node.put("in_doubt", view.pending().isPresent());
		node.set("configuration", Json.mapper().valueToTree(view.configuration()));
		json(ctx, 200, node);
	}

	private void patch(Context ctx) throws FulmargapException {
		PatchBody body = parse(ctx, PatchBody.class);
		if (body.patchId().isBlank() || !body.mergePatch().isObject()) {
			throw malformed("PATCH_INVALID", "patch_id must not be empty and merge_patch must be an object", null);
		}
		this.patches.proposed(body.patchId());
		ctx.future(() -> this.config.patch(body.patchId(), body.expectedVersion(), body.mergePatch())
			.thenAccept((decision) -> {
				this.patches.decided(body.patchId(), decision);
				this.timeline.record(EventType.PATCH_DECIDED, "", decision.version(), "patch_id", body.patchId(),
						"accepted", decision.accepted(), "refusal", decision.refusal().map(Enum::name).orElse(""));
				int status = decision.refusal().map(ConfigService.PatchRefusal::httpStatus).orElse(200);
				json(ctx, status, decision(body.patchId(), Optional.of(decision)));
			}));
	}

	private void readPatch(Context ctx) {
		String id = ctx.pathParam("id");
		Optional<ConfigService.Decision> found = this.patches.find(id);
		if (found == null || found.isEmpty()) {
			Optional<ConfigService.Decision> recorded = this.actions.patchDecision(id);
			found = recorded.isPresent() ? recorded : found;
		}
		if (found == null) {
			ObjectNode error = Json.mapper().createObjectNode();
			error.putObject("error")
				.put("type", "MALFORMED_REQUEST")
				.put("reason", "UNKNOWN_PATCH")
				.put("message", "this entry VM does not know patch " + id)
				.put("request_id", "");
			json(ctx, 404, error);
			return;
		}
		json(ctx, 200, decision(id, found));
	}

	private static ObjectNode decision(String patchId, Optional<ConfigService.Decision> decision) {
		ObjectNode node = Json.mapper().createObjectNode();
		node.put("patch_id", patchId);
		node.put("decided", decision.isPresent());
		decision.ifPresent((decided) -> {
			node.put("accepted", decided.accepted());
			node.put("version", decided.version());
			node.put("refusal", decided.refusal().map(Enum::name).orElse(null));
			node.put("message", decided.message());
		});
		return node;
	}

	private void order(Context ctx, OperatorActions.Target target) throws FulmargapException {
		State state = parse(ctx, StateBody.class).state();
		String name = ctx.pathParam("name");
		this.timeline.record(EventType.ORDER_RECEIVED, "", this.config.current().version(), "target", target, "name",
				name, "state", state);
		ctx.future(() -> this.actions.order(target, name, state == State.OUT)
			.thenAccept((result) -> json(ctx, 200, result)));
	}

	private void evict(Context ctx) {
		String vm = ctx.pathParam("vm");
		ctx.future(() -> this.actions.evict(vm)
			.thenAccept((recorded) -> json(ctx, recorded ? 200 : 503,
					Json.mapper().createObjectNode().put("vm", vm).put("evicted", recorded))));
	}

	private void readTimeline(Context ctx) throws FulmargapException {
		Optional<String> requestId = Optional.ofNullable(ctx.queryParam("request_id"));
		String version = ctx.queryParam("config_version");
		try {
			OptionalLong configVersion = (version != null) ? OptionalLong.of(Long.parseLong(version))
					: OptionalLong.empty();
			ObjectNode node = Json.mapper().createObjectNode();
			node.set("events", Json.mapper().valueToTree(this.timeline.find(requestId, configVersion)));
			json(ctx, 200, node);
		}
		catch (NumberFormatException ex) {
			throw malformed("VERSION_INVALID", "config_version must be a whole number", ex);
		}
	}

	private void ready(Context ctx) {
		OperatorActions.Readiness readiness = this.actions.readiness();
		ObjectNode node = Json.mapper().createObjectNode();
		node.put("ready", readiness.isReady());
		node.put("ready_non_idempotent", readiness.isReady() && readiness.nonIdempotent());
		node.put("refusal", readiness.refusal().orElse(null));
		node.put("config_version", this.config.current().version());
		json(ctx, readiness.isReady() ? 200 : 503, node);
	}

	private static <T> T parse(Context ctx, Class<T> type) throws FulmargapException {
		if (ctx.req().getContentLengthLong() > MAX_BODY_BYTES) {
			throw new FulmargapException(FailureType.BODY_TOO_LARGE, "BODY_TOO_LARGE",
					"the body is longer than " + MAX_BODY_BYTES + " bytes");
		}
		try {
			T body = Json.mapper().readValue(ctx.bodyAsBytes(), type);
			if (body != null) {
				return body;
			}
			throw malformed("BODY_NOT_JSON", "the body must be a JSON object", null);
		}
		catch (JsonProcessingException ex) {
			throw malformed("BODY_INVALID", "the body is not valid: " + ex.getOriginalMessage(), ex);
		}
		catch (java.io.IOException ex) {
			throw malformed("BODY_INVALID", "the body could not be read", ex);
		}
	}

	private static FulmargapException malformed(String reason, String message, Exception cause) {
		return new FulmargapException(FailureType.MALFORMED_REQUEST, reason, message, cause);
	}

	private static void refuse(Context ctx, FulmargapException ex) {
		Reply reply = Reply.failed(ex, "", org.fulmargap.pipeline.RunState.NOT_RUN);
		ctx.status(reply.status()).contentType("application/json").result(reply.body());
	}

	private static void json(Context ctx, int status, JsonNode node) {
		ctx.header(HttpServers.REQUEST_ID_HEADER, "");
		ctx.status(status).contentType("application/json").result(node.toString());
	}

	@Override
	public void close() {
		this.javalin.stop();
	}

	/**
	 * Body of a request to patch the configuration.
	 *
	 * @param patchId the identity of the patch
	 * @param expectedVersion the version that the patch applies to
	 * @param mergePatch the JSON Merge Patch (RFC 7396)
	 */
	private record PatchBody(@JsonProperty(value = "patch_id", required = true) String patchId,
			@JsonProperty(value = "expected_version", required = true) long expectedVersion,
			@JsonProperty(value = "merge_patch", required = true) JsonNode mergePatch) {
	}

	/**
	 * Body of a request to change the state of a failure domain or endpoint.
	 *
	 * @param state the requested state
	 */
	private record StateBody(@JsonProperty(value = "state", required = true) State state) {

		StateBody {
			java.util.Objects.requireNonNull(state, "state");
		}

	}

	/**
	 * State of a failure domain or endpoint.
	 */
	private enum State {

		OUT, IN

	}

}
