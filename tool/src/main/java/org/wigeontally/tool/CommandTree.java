package org.wigeontally.tool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;

/**
 * Builds the JCommander tree of commands and command groups. A command name of two words,
 * such as "zone out", becomes a command in a group.
 */
final class CommandTree {

	private CommandTree() {
	}

	static JCommander build(String program, Object mainOptions, GlobalOptions options, List<Command> commands) {
		JCommander root = JCommander.newBuilder()
			.programName(program)
			.addObject(mainOptions)
			.addObject(options)
			.build();
		Map<String, JCommander> groups = new HashMap<>();
		for (Command command : commands) {
			String[] words = command.name().split(" ");
			JCommander parent = (words.length == 1) ? root
					: groups.computeIfAbsent(words[0], (group) -> addGroup(root, group, options));
			String word = words[words.length - 1];
			parent.addCommand(word, new Object[] { command, options });
			parent.getCommands().get(word).setProgramName(program + " " + command.name());
		}
		return root;
	}

	private static JCommander addGroup(JCommander root, String group, GlobalOptions options) {
		root.addCommand(group, options);
		JCommander commander = root.getCommands().get(group);
		commander.setProgramName(root.getProgramName() + " " + group);
		return commander;
	}

	/**
	 * Returns the node of the command or group that the arguments name.
	 * @param root the root after parsing
	 * @return the innermost node that was named, or the root if none was
	 */
	static JCommander selectedNode(JCommander root) {
		JCommander selected = root;
		while (selected.getParsedAlias() != null) {
			selected = selected.findCommandByAlias(selected.getParsedAlias());
		}
		return selected;
	}

	/**
	 * Returns the command of a node.
	 * @param node the node
	 * @return the command, or null if the node is the root or a group
	 */
	static Command commandAt(JCommander node) {
		return (node.getObjects().get(0) instanceof Command command) ? command : null;
	}

	static String usage(JCommander node) {
		StringBuilder text = new StringBuilder();
		Command command = commandAt(node);
		if (command != null) {
			text.append(command.description()).append(".\n");
		}
		if (!node.getCommands().isEmpty()) {
			text.append("Usage: ").append(node.getProgramName()).append(" COMMAND [options]\n\nCommands:\n");
			appendCommands(node, "", text);
			text.append("\nOptions of each command: ").append(node.getProgramName()).append(" COMMAND --help\n");
			return text.toString();
		}
		node.getUsageFormatter().usage(text);
		return text.toString();
	}

	private static void appendCommands(JCommander node, String prefix, StringBuilder text) {
		for (Map.Entry<String, JCommander> entry : node.getCommands().entrySet()) {
			Command command = commandAt(entry.getValue());
			if (command == null) {
				appendCommands(entry.getValue(), prefix + entry.getKey() + " ", text);
			}
			else {
				text.append(String.format("  %-20s %s%n", prefix + entry.getKey(), command.description()));
			}
		}
	}

}
