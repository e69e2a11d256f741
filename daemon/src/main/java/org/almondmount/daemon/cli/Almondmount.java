package org.almondmount.daemon.cli;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * The program {@code almondmount}. It ends with 0 when what was asked for is done, 1 when
 * it was refused or failed, 2 on wrong usage.
 */
public final class Almondmount {

	private static final int WIDTH = 110;

	@Option(name = "--help", help = true, usage = "show this help")
	private boolean help;

	@Argument(metaVar = "COMMAND", required = true, handler = SubCommandHandler.class)
	@SubCommands({ @SubCommand(name = "entry", impl = EntryCommand.class),
			@SubCommand(name = "target", impl = TargetCommand.class),
			@SubCommand(name = "check-config", impl = CheckConfigCommand.class),
			@SubCommand(name = "submit", impl = SubmitCommand.class),
			@SubCommand(name = "job", impl = JobCommand.class),
			@SubCommand(name = "cancel", impl = CancelCommand.class),
			@SubCommand(name = "call", impl = CallCommand.class),
			@SubCommand(name = "status", impl = ListCommand.Status.class),
			@SubCommand(name = "customers", impl = ListCommand.Customers.class),
			@SubCommand(name = "zones", impl = ListCommand.Zones.class),
			@SubCommand(name = "workers", impl = ListCommand.Workers.class),
			@SubCommand(name = "jobs", impl = ListCommand.Jobs.class),
			@SubCommand(name = "history", impl = ListCommand.History.class),
			@SubCommand(name = "plan", impl = PlanCommand.class),
			@SubCommand(name = "confirm", impl = ConfirmCommand.class),
			@SubCommand(name = "explain", impl = ExplainCommand.class),
			@SubCommand(name = "trace", impl = TraceCommand.class) })
	private Command command;

	private Almondmount() {
	}

	public static void main(String[] arguments) {
		int status = run(new Console(System.out, System.err), arguments).code();
		System.out.flush();
		System.exit(status);
	}

	/**
	 * Runs one command line.
	 * @param console where to write
	 * @param arguments the words of the command line
	 * @return how it ended
	 */
	static ExitStatus run(Console console, String... arguments) {
		Almondmount program = new Almondmount();
		CmdLineParser parser = new CmdLineParser(program, ParserProperties.defaults().withUsageWidth(WIDTH));
		try {
			parser.parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			console.err().println(ex.getMessage());
			console.err().println("See almondmount --help, or almondmount COMMAND --help.");
			return ExitStatus.WRONG_USAGE;
		}
		if (program.command == null || program.help) {
			help(console);
			return ExitStatus.DONE;
		}
		if (program.command.wantsHelp()) {
			help(console, program.command);
			return ExitStatus.DONE;
		}
		return run(console, program.command);
	}

	private static ExitStatus run(Console console, Command command) {
		try {
			return command.run(console);
		}
		catch (WrongUsageException ex) {
			console.err().println(ex.getMessage());
			return ExitStatus.WRONG_USAGE;
		}
	}

	private static void help(Console console) {
		console.out().println("almondmount COMMAND [options]");
		console.out().println();
		for (String[] group : Overview.GROUPS) {
			console.out().println(group[0]);
			for (int i = 1; i < group.length; i++) {
				console.out().println("  " + group[i]);
			}
		}
		console.out().println();
		console.out().println("almondmount COMMAND --help tells the options of a command.");
	}

	private static void help(Console console, Command command) {
		console.out().println(command.purpose());
		new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(WIDTH)).printUsage(console.out());
	}

}
