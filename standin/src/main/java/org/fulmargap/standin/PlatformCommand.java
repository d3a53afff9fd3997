package org.fulmargap.standin;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the platform stand-in until the process is terminated.
 */
@Command(name = "platform", mixinStandardHelpOptions = true,
		description = "Runs a stand-in of the log service and the VM list on the loopback address.")
final class PlatformCommand implements Callable<Integer> {

	@Option(names = "--port", required = true, description = "Port to listen on; repeat it to cut off clients by port.")
	private List<Integer> ports;

	@Option(names = "--appends-per-second", defaultValue = "400")
	private int appendsPerSecond;

	@Option(names = "--retain-records", defaultValue = "20000", description = "Records retained per stream.")
	private int retainRecords;

	@Option(names = "--retain-ms", defaultValue = "3600000")
	private long retainMs;

	@Option(names = "--vm-list-lag-ms", defaultValue = "2000")
	private long vmListLagMs;

	@Override
	public Integer call() throws Exception {
		try (PlatformStandIn platform = new PlatformStandIn(new PlatformStandIn.Options(this.ports,
				this.appendsPerSecond, this.retainRecords, this.retainMs, this.vmListLagMs))) {
			platform.start();
			System.out.println("event=ready standin=platform ports=" + platform.ports());
			new CountDownLatch(1).await();
		}
		return 0;
	}

}
