package org.persimmonwalk.internal.operator.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.persimmonwalk.internal.operator.log.LogLine;
import org.persimmonwalk.internal.operator.log.RequestTimeline;
import org.persimmonwalk.internal.operator.output.Table;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Prints the log lines that explain why a request failed, and the meaning of its codes. */
final class ExplainCommand implements Subcommand {
  @Argument(index = 0, metaVar = "REQUEST", required = true, usage = "the id of the request")
  private String request;

  @Argument(
      index = 1,
      metaVar = "FILES",
      required = true,
      multiValued = true,
      usage = "log files of entry hosts, one or more")
  private List<Path> files;

  @Override
  public void run(OperatorSession session) {
    List<LogLine> lines = new ArrayList<>();
    files.forEach(file -> read(file, lines));
    RequestTimeline timeline = RequestTimeline.of(request, lines);
    if (timeline.lines().isEmpty()) {
      throw PersimmonwalkException.of(
          ResultCode.COMMAND_LINE_INVALID,
          "no line names the request "
              + request
              + "; only refused and failed requests are logged, so check the id and the files");
    }
    Table table = Table.of("time", "host", "event", "details");
    for (LogLine line : timeline.lines()) {
      table = table.withRow(line.time().toString(), line.source(), line.event(), line.details());
    }
    session.output().table(table);
    timeline
        .codes()
        .forEach(
            code ->
                session
                    .output()
                    .result(
                        Results.of(
                            "code", code.label(), "name", code.name(), "meaning", code.meaning())));
  }

  private static void read(Path file, List<LogLine> lines) {
    String name = file.getFileName().toString();
    try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
      for (String text = reader.readLine(); text != null; text = reader.readLine()) {
        LogLine.parse(name, text).ifPresent(lines::add);
      }
    } catch (IOException e) {
      throw PersimmonwalkException.of(
          ResultCode.COMMAND_LINE_INVALID, "cannot read the log file " + file, e);
    }
  }
}
