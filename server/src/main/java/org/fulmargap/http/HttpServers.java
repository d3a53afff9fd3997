package org.fulmargap.http;

import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.config.RoutesConfig;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fulmargap.config.Json;
import org.fulmargap.pipeline.RunState;

/**
 * Creates the HTTP servers of an entry VM.
 */
final class HttpServers {

	/**
	 * The header with the id of the request, empty for requests of operators. A 404
	 * answer without this header comes from the HTTP library, which found no handler.
	 */
	static final String REQUEST_ID_HEADER = "Fulmargap-Request";

	private HttpServers() {
	}

	static Javalin create(int maxThreads, Consumer<RoutesConfig> routes) {
		return Javalin.create((config) -> {
			QueuedThreadPool threads = new QueuedThreadPool(maxThreads, 4);
			threads.setName("http");
			config.jetty.threadPool = threads;
			config.jetty.modifyHttpConfiguration((http) -> http.setSendServerVersion(false));
			config.startup.showJavalinBanner = false;
			routes.accept(config.routes);
		});
	}

	static Reply unknownPath(String path) {
		ObjectNode root = Json.mapper().createObjectNode();
		ObjectNode error = root.putObject("error");
		error.put("type", "MALFORMED_REQUEST");
		error.put("reason", "UNKNOWN_PATH");
		error.put("message", "there is no resource at " + path + " for this method");
		error.put("request_id", "");
		return new Reply(404, root.toString(), Optional.empty(), RunState.NOT_RUN, Optional.empty());
	}

}
