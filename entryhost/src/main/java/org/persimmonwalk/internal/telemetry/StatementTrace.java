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
 * The spans of one statement: a server span for its handling by this host, and a client span for
 * each attempt at a backend server. They contain neither the text of the statement nor a caller
 * key.
 */
public final class StatementTrace {
  private final Tracer tracer;
  private final Span statementSpan;
  private Optional<Span> attemptSpan = Optional.empty();

  private StatementTrace(Tracer tracer, Span statementSpan) {
    this.tracer = tracer;
    this.statementSpan = statementSpan;
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

  /** Starts the span of an attempt when the statement is sent to a backend server. */
  public void startAttempt(RoutingDecision.Execute decision) {
    attemptSpan =
        Optional.of(
            tracer
                .spanBuilder("backend")
                .setParent(Context.root().with(statementSpan))
                .setSpanKind(SpanKind.CLIENT)
                .setAttribute("server", decision.server().id().value())
                .setAttribute("zone", decision.server().zone().value())
                .setAttribute("term", decision.term().number())
                .setAttribute("reason", decision.reason().name())
                .startSpan());
  }

  /** Ends the span of the current attempt, if any. */
  public void endAttempt(boolean succeeded) {
    attemptSpan.ifPresent(span -> end(span, succeeded));
    attemptSpan = Optional.empty();
  }

  /** Ends the span of a statement that was sent to a backend server. */
  public void finished(StatementState state) {
    statementSpan.setAttribute("outcome", state.name());
    end(statementSpan, state == StatementState.RAN);
  }

  /** Ends the span of a statement that was refused. */
  public void refused(ResultCode code) {
    statementSpan.setAttribute("code", code.label());
    end(statementSpan, false);
  }

  private static void end(Span span, boolean succeeded) {
    span.setStatus(succeeded ? StatusCode.OK : StatusCode.ERROR);
    span.end();
  }
}
