package org.persimmonwalk.internal.telemetry;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import java.util.Optional;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.RoutingDecision;

/**
 * The spans of one statement: one for the hop from the caller to this host, and one for each
 * attempt at a backend server. They hold no statement text and no key.
 */
public final class StatementTrace {
  private final Tracer tracer;
  private final Span statement;
  private Optional<Span> attempt = Optional.empty();

  private StatementTrace(Tracer tracer, Span statement) {
    this.tracer = tracer;
    this.statement = statement;
  }

  /** Starts the span of a statement. */
  public static StatementTrace start(Tracer tracer, StatementRequest request) {
    Span span =
        tracer
            .spanBuilder("statement")
            .setSpanKind(SpanKind.SERVER)
            .setAttribute("workspace", request.workspace().value())
            .setAttribute("group", request.group().value())
            .setAttribute("kind", request.kind().name())
            .startSpan();
    return new StatementTrace(tracer, span);
  }

  /** Starts the span of an attempt at a server. */
  public void sent(RoutingDecision.Execute decision) {
    attempt =
        Optional.of(
            tracer
                .spanBuilder("backend")
                .setParent(Context.root().with(statement))
                .setSpanKind(SpanKind.CLIENT)
                .setAttribute("server", decision.server().id().value())
                .setAttribute("zone", decision.server().zone().value())
                .setAttribute("term", decision.term().number())
                .setAttribute("reason", decision.reason().name())
                .startSpan());
  }

  /** Ends the span of the attempt that runs. */
  public void answered(boolean succeeded) {
    attempt.ifPresent(span -> end(span, succeeded));
    attempt = Optional.empty();
  }

  /** Ends the span of the statement after it was sent. */
  public void finished(StatementState state) {
    statement.setAttribute("outcome", state.name());
    end(statement, state == StatementState.RAN);
  }

  /** Ends the span of a statement that was refused. */
  public void refused(ResultCode code) {
    statement.setAttribute("code", code.label());
    end(statement, false);
  }

  private static void end(Span span, boolean succeeded) {
    span.setStatus(succeeded ? StatusCode.OK : StatusCode.ERROR);
    span.end();
  }
}
