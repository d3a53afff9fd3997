package org.fulmargap.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.Consumer;

import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * HTTP server on the loopback address whose connections can be closed or silenced.
 */
final class HttpServer implements AutoCloseable {

	/** Long enough that no idle connection is closed during a test or a demo. */
	private static final long IDLE_TIMEOUT_MS = 600_000;

	private final Server server;

	private final List<ServerConnector> connectors = new ArrayList<>();

	private final Set<EndPoint> silenced = Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));

	HttpServer(String name, List<Integer> ports, Consumer<Exchange> handler) {
		QueuedThreadPool threads = new QueuedThreadPool(24, 4);
		threads.setName(name);
		threads.setDaemon(true);
		this.server = new Server(threads);
		HttpConfiguration configuration = new HttpConfiguration();
		configuration.setIdleTimeout(IDLE_TIMEOUT_MS);
		configuration.setSendServerVersion(false);
		// Clients send attempt ids in paths, and these contain encoded slashes.
		configuration.setUriCompliance(UriCompliance.LEGACY);
		for (int port : ports) {
			ServerConnector connector = new ServerConnector(this.server, 1, 1,
					new HttpConnectionFactory(configuration));
			connector.setHost("127.0.0.1");
			connector.setPort(port);
			connector.setAcceptQueueSize(1024);
			connector.setIdleTimeout(IDLE_TIMEOUT_MS);
			connector.setShutdownIdleTimeout(0);
			this.connectors.add(connector);
			this.server.addConnector(connector);
		}
		this.server.setStopTimeout(0);
		this.server.setHandler(new Handler.Abstract.NonBlocking() {
			@Override
			public boolean handle(Request request, Response response, Callback callback) {
				handler.accept(new Exchange(HttpServer.this, request, response, callback));
				return true;
			}
		});
	}

	void start() throws IOException {
		try {
			this.server.start();
		}
		catch (IOException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw new IOException("HTTP server failed to start", ex);
		}
		for (ServerConnector connector : this.connectors) {
			// Keeps the port for the restart after a simulated crash.
			connector.setPort(connector.getLocalPort());
		}
	}

	List<Integer> ports() {
		return this.connectors.stream().map(ServerConnector::getPort).toList();
	}

	boolean isSilent(EndPoint connection) {
		return this.silenced.contains(connection);
	}

	/** Stops responding on all open connections. Connections opened later are served. */
	void silenceOpenConnections() {
		for (ServerConnector connector : this.connectors) {
			this.silenced.addAll(connector.getConnectedEndPoints());
		}
	}

	void closeConnections() {
		for (ServerConnector connector : this.connectors) {
			List.copyOf(connector.getConnectedEndPoints()).forEach(EndPoint::close);
		}
	}

	/** Closes all connections and refuses new ones. */
	void stopListening() {
		for (ServerConnector connector : this.connectors) {
			connector.close();
		}
		closeConnections();
		try {
			for (ServerConnector connector : this.connectors) {
				connector.stop();
			}
		}
		catch (Exception ex) {
			throw new IllegalStateException("HTTP connector failed to stop", ex);
		}
	}

	/** Accepts connections again after {@link #stopListening()}. */
	void resumeListening() {
		try {
			for (ServerConnector connector : this.connectors) {
				connector.start();
			}
		}
		catch (Exception ex) {
			throw new IllegalStateException("HTTP connector failed to start", ex);
		}
	}

	@Override
	public void close() {
		closeConnections();
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new IllegalStateException("HTTP server failed to stop", ex);
		}
	}

}
