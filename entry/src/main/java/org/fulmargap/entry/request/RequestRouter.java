package org.fulmargap.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.zip.CRC32;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.fulmargap.catalog.Catalog;
import org.fulmargap.catalog.ClientAccount;
import org.fulmargap.catalog.Route;
import org.fulmargap.entry.ConfigInForce;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.caller.CallerExchange;
import org.fulmargap.entry.caller.CallerHandler;
import org.fulmargap.entry.caller.CallerListener;
import org.fulmargap.platform.CallerHeaders;
import org.fulmargap.platform.CallerRequest;
import org.fulmargap.routing.CrashQuarantine;

/**
 * Determines the route and the client account of each request of a caller, and starts its
 * {@link RequestFlow} or refuses it.
 */
public final class RequestRouter implements CallerHandler {

	/**
	 * The largest number of work items of a request. Their handles are sent in one
	 * header, and each work item holds those of the stages before it.
	 */
	private static final int MAX_WORK_ITEMS = 1_000;

	/** The length of the longest host or path that is logged whole, in characters. */
	private static final int MAX_LOGGED_LENGTH = 100;

	private final RequestServices services;

	private boolean refusing;

	/**
	 * Creates a router.
	 * @param services the objects that all requests share
	 */
	public RequestRouter(RequestServices services) {
		this.services = services;
	}

	/**
	 * Refuses all new requests from now on, so that callers retry at another VM before
	 * this one stops.
	 */
	public void refuseNew() {
		this.refusing = true;
	}

	@Override
	public CallerListener handle(FullHttpRequest http, CallerExchange exchange) {
		CallerRequest request = CallerHeaders.decode((name) -> http.headers().get(name));
		this.services.metrics().count("requests");
		if (this.refusing) {
			return refuse(http, exchange, request, Refusal.STOPPING);
		}
		Optional<ConfigInForce> config = this.services.view().config();
		if (config.isEmpty() || !this.services.view().isComplete()) {
			return refuse(http, exchange, request, Refusal.NO_CONFIGURATION);
		}
		Catalog catalog = config.get().catalog();
		String host = host(http);
		int colon = host.indexOf(':');
		String name = (colon >= 0) ? host.substring(0, colon) : host;
		Optional<Route> route = catalog.route(name, http.uri());
		if (route.isEmpty()) {
			return refuse(http, exchange, request, Refusal.NO_ROUTE);
		}
		Optional<ClientAccount> account = catalog.account(request.apiKey());
		if (account.isEmpty() && catalog.needsKey(route.get())) {
			return refuse(http, exchange, request, Refusal.UNKNOWN_KEY);
		}
		if (request.totalItems(route.get().stages().size()) > MAX_WORK_ITEMS) {
			return refuse(http, exchange, request, Refusal.TOO_MANY_ITEMS);
		}
		String fingerprint = fingerprint(http, request);
		CrashQuarantine.Verdict verdict = this.services.quarantine().verdict(fingerprint, this.services.nowMs());
		boolean refused = this.services.promptParts().mustRefuse(request.prompt().sharedParts(), this.services.nowMs());
		if (!verdict.mayRun() || refused) {
			return refuse(http, exchange, request, Refusal.QUARANTINED);
		}
		RequestFlow flow = new RequestFlow(this.services, exchange, http, request, config.get(), route.get(),
				account.orElse(null), fingerprint);
		http.release();
		flow.start();
		return flow;
	}

	private CallerListener refuse(FullHttpRequest http, CallerExchange exchange, CallerRequest request,
			Refusal refusal) {
		Optional<ConfigInForce> config = this.services.view().config();
		long nowMs = this.services.nowMs();
		EventLog.request("refused", request.attemptId())
			.with("reason", refusal)
			.with("config_version", config.map(ConfigInForce::version).orElse(0L))
			.with("config_age_ms", config.map((known) -> known.ageMs(nowMs)).orElse(-1L))
			.with("host", EventLog.cut(host(http), MAX_LOGGED_LENGTH))
			.with("path", EventLog.cut(path(http), MAX_LOGGED_LENGTH))
			.write();
		this.services.metrics().count("refused_" + refusal.name().toLowerCase(Locale.ROOT));
		http.release();
		RefusalAnswer.send(exchange, refusal, refusal.retryAfterMs(), Math.max(0, request.timeLeftMs()));
		return null;
	}

	private static String host(FullHttpRequest http) {
		return http.headers().get(HttpHeaderNames.HOST, "");
	}

	// The query is left out, because it may contain keys.
	private static String path(FullHttpRequest http) {
		int query = http.uri().indexOf('?');
		return (query >= 0) ? http.uri().substring(0, query) : http.uri();
	}

	private static String fingerprint(FullHttpRequest http, CallerRequest request) {
		CRC32 hash = new CRC32();
		hash.update(request.apiKey().getBytes(StandardCharsets.UTF_8));
		if (http.content().hasArray()) {
			hash.update(http.content().array(), http.content().arrayOffset() + http.content().readerIndex(),
					http.content().readableBytes());
		}
		else {
			hash.update(http.content().nioBuffer());
		}
		return http.uri() + '#' + Long.toHexString(hash.getValue());
	}

}
