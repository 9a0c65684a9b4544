package org.persimmonwalk.internal.traffic.caller;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StatementClassifierTest {

  /** Guards against a writing statement that goes to a replica or loses its acknowledgement. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          SELECT 1                                        | READ
          -- note                                         | WRITE
          /* note */ SELECT 1                             | WRITE
          select * from tank for update                   | WRITE
          SELECT 1; INSERT INTO tank VALUES (1)           | MULTIPLE
          SHOW server_version;                            | READ
          WITH a AS (DELETE FROM t) SELECT 1              | WRITE
          EXPLAIN ANALYZE DELETE FROM t                   | WRITE
          BEGIN                                           | BEGIN
          START TRANSACTION READ ONLY                     | BEGIN_READ_ONLY
          commit                                          | END
          /* app */ COMMIT                                | END
          /* a /* b */ c */ -- d                          | WRITE
          COMMIT -- on to                                 | END
          COMMIT /* back to a */                          | END
          COMMIT /* open                                  | END
          ROLLBACK TO SAVEPOINT a                         | WRITE
          rollback work to a                              | WRITE
          /* app */ ROLLBACK /* b */ TO a                 | WRITE
          ROLLBACK -- TO a                                | END
          COMMIT; SELECT 1                                | MULTIPLE
          /* app */ SET search_path = tank                | SET
          SET application_name = 'a;b'                    | SET
          SET application_name = 'a;b'; DELETE FROM t     | MULTIPLE
          SET application_name = E'a\'; DELETE FROM t --'  | MULTIPLE
          SET search_path = tank                          | SET
          SET LOCAL lock_timeout = 1                      | READ
          set persimmonwalk.session = 'a'                 | SET_HOST_PARAMETER
          COPY t FROM STDIN                               | UNSUPPORTED
          CREATE TEMP TABLE t (a text)                    | UNSUPPORTED
          LISTEN a                                        | UNSUPPORTED
          INSERT INTO t VALUES ('x;y')                    | MULTIPLE
          """)
  void shouldClassifyByLeadingKeyword(String statement, StatementClass expected) {
    assertThat(StatementClassifier.classify(statement)).isEqualTo(expected);
  }
}
