package org.fulmargap.standin;

import java.nio.file.Path;
import java.util.List;

/**
 * Options of a {@link Cluster}.
 *
 * @param failureDomains the names of the failure domains
 * @param vmsPerDomain the number of entry VMs in each failure domain
 * @param services the names of the services, each with one endpoint per failure domain
 * @param serverCommand the command that starts an entry VM, without its settings
 * @param templates the directory with the templates of settings and patches
 * @param workDirectory the directory for settings files and logs
 * @param platform the options of the platform; the cluster chooses its ports
 * @param endpoint the options of each endpoint; the cluster chooses name and port
 */
public record ClusterOptions(List<String> failureDomains, int vmsPerDomain, List<String> services,
		List<String> serverCommand, Path templates, Path workDirectory, PlatformStandIn.Options platform,
		EndpointOptions endpoint) {

	/** The services that the pipelines of the templates use. */
	public static final List<String> SERVICES = List.of("encoder", "retriever", "reranker", "generator", "labels");

	/**
	 * Copies the lists and checks the size.
	 */
	public ClusterOptions {
		failureDomains = List.copyOf(failureDomains);
		services = List.copyOf(services);
		serverCommand = List.copyOf(serverCommand);
		if (failureDomains.isEmpty() || vmsPerDomain < 1) {
			throw new IllegalArgumentException("at least one failure domain with one entry VM is required");
		}
	}

	/**
	 * Returns the options for three failure domains with two entry VMs each.
	 * @param serverCommand the command that starts an entry VM, without its settings
	 * @param templates the directory with the templates of settings and patches
	 * @param workDirectory the directory for settings files and logs
	 * @return the options
	 */
	public static ClusterOptions threeDomains(List<String> serverCommand, Path templates, Path workDirectory) {
		return new ClusterOptions(List.of("bog-norte", "bog-centro", "bog-sur"), 2, SERVICES, serverCommand, templates,
				workDirectory, PlatformStandIn.Options.defaults(), EndpointOptions.warm("", 0));
	}

}
