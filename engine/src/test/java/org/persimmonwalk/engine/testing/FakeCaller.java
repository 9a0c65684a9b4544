package org.persimmonwalk.engine.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.ByteBudget;
import org.persimmonwalk.engine.CallerConnection;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.TermPosition;

/** Records what the engine sends to a caller. */
public final class FakeCaller implements CallerConnection {
  private final List<Answer> answers = new ArrayList<>();
  private Optional<Failure> refusal = Optional.empty();
  private boolean closed;
  private boolean writable = true;
  private Optional<RuntimeException> closeFailure = Optional.empty();
  private Runnable onAnswer = () -> {};
  private ByteBudget.Account account = ByteBudget.of(Long.MAX_VALUE / 100).open(bytes -> {});

  @Override
  public void ready(Optional<TermPosition> position) {}

  @Override
  public void refuse(Failure failure) {
    refusal = Optional.of(failure);
    closed = true;
  }

  @Override
  public void answer(Answer answer) {
    answers.add(answer);
    onAnswer.run();
  }

  /** Sets what the caller does as soon as it has an answer, such as sending its next statement. */
  public void onAnswer(Runnable action) {
    onAnswer = action;
  }

  /** Counts what the session keeps in the budget, which closes the connection if it is spent. */
  public void countIn(ByteBudget budget) {
    account = budget.open(bytes -> closed = true);
  }

  @Override
  public boolean keep(long bytes) {
    return account.add(bytes);
  }

  @Override
  public void release(long bytes) {
    account.remove(bytes);
  }

  /** Sets whether the caller reads its answers. */
  public void setWritable(boolean value) {
    writable = value;
  }

  @Override
  public boolean isWritable() {
    return writable;
  }

  /** Makes each close fail. */
  public void failOnClose(RuntimeException failure) {
    closeFailure = Optional.of(failure);
  }

  @Override
  public void close() {
    closeFailure.ifPresent(
        failure -> {
          throw failure;
        });
    closed = true;
  }

  /** Returns how many statements were answered. */
  public int answered() {
    return answers.size();
  }

  /** Returns how many statements succeeded. */
  public long succeeded() {
    return answers.stream().filter(Answer::succeeded).count();
  }

  /** Returns the newest answer. */
  public Answer last() {
    return answers.get(answers.size() - 1);
  }

  /** Returns the failure code of the newest answer; empty if it succeeded. */
  public Optional<FailureCode> lastCode() {
    return last().failure().map(Failure::code);
  }

  /** Returns why the session was refused; empty if it was not. */
  public Optional<FailureCode> refusal() {
    return refusal.map(Failure::code);
  }

  /** Returns whether the connection was closed. */
  public boolean isClosed() {
    return closed;
  }
}
