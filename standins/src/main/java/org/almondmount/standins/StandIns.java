package org.almondmount.standins;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * The program of the stand-ins. Each prints {@code ready ROLE NAME PORT} on standard
 * output once it listens.
 */
public final class StandIns {

	private static final int WRONG_USAGE = 2;

	@Argument(required = true, metaVar = "ROLE", usage = "table, objects, worker, instance, balancer or all",
			handler = SubCommandHandler.class)
	@SubCommands({ @SubCommand(name = "table", impl = StandInCommand.Table.class),
			@SubCommand(name = "objects", impl = StandInCommand.Objects.class),
			@SubCommand(name = "worker", impl = StandInCommand.Worker.class),
			@SubCommand(name = "instance", impl = StandInCommand.Instance.class),
			@SubCommand(name = "balancer", impl = StandInCommand.BalancerRole.class),
			@SubCommand(name = "all", impl = StandInCommand.All.class) })
	private StandInCommand command;

	private StandIns() {
	}

	public static void main(String[] arguments) throws InterruptedException {
		StandIns program = new StandIns();
		CmdLineParser parser = new CmdLineParser(program, ParserProperties.defaults().withUsageWidth(100));
		try {
			parser.parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			System.err.println(ex.getMessage());
			ex.getParser().printUsage(System.err);
			System.exit(WRONG_USAGE);
			return;
		}
		program.command.run();
		Thread.currentThread().join();
	}

}
