Feature: Settings documents, inheritance and versions

  # Guards against errors that do not tell the operator what to correct.
  Scenario Outline: A refusal of <case> names path, line, reason and range
    When the document of "<branch>" is
      """
      // three lines of document
      <line two>
      <line three>
      """
    Then it is refused at line <line> for "<path>" because "<reason>"
    And the accepted range is "<accepted>"

    Examples:
      | case              | branch         | line two              | line three                 | line | path                   | reason                          | accepted                       |
      | an unknown key    | fleet          | {settings: {          | test: {rtae: 1}}}          | 3    | test.rtae              | did you mean test.rate?         |                                |
      | a wrong unit      | fleet          | {settings: {test: {   | pause_s: "3 MB"}}}         | 3    | test.pause_s           | has the wrong unit              | number from 0 to 60 s          |
      | a high value      | fleet          | {settings: {test: {   | "rate": 1e9}}}             | 3    | test.rate              | is out of range                 | number from 0 to 100000 requests/s |
      | a fraction        | fleet          | {settings:            | {test: {copies: 1.5}}}     | 3    | test.copies            | is not an integer               | integer of at least 1          |
      | a foreign branch  | services/desk  | {settings:            | {test: {rate: 1}}}         | 3    | test.rate              | may not be set in branch        | fleet, organisation            |
      | a wrong choice    | fleet          | {settings:            | {test: {mode: "fast"}}}    | 3    | test.mode              | is not an accepted choice       | one of slow, steady            |
      | a second value    | fleet          | {settings: {"test.rate": 1, | test: {rate: 2}}}    | 3    | test.rate              | is given twice                  |                                |
      | a second group    | fleet          | {settings: {test: {}, | test: {rate: 2}}}          | 3    | test                   | is given twice                  |                                |
      | a foreign member  | fleet          | {settings: {},        | sets: 1}                   | 3    | sets                   | is not a member                 | parent, settings               |
      | broken syntax     | fleet          | {settings: {          | test ; 1}}                 | 3    | document               | is not valid JSON with comments |                                |
      | a bad parent name | services/desk  | {                     | parent: "desk"}            | 3    | parent                 | is not a valid branch name      |                                |

  # Guards against values that depend on their notation.
  Scenario Outline: <notation> is read as <value>
    When the document of "fleet" is
      """
      {settings: {test: {<notation>}}} /* comment */
      """
    Then it sets "<path>" to <value>

    Examples:
      | notation              | path         | value  |
      | pause_s: "250 ms"     | test.pause_s | 0.25   |
      | pause_s: "1 min"      | test.pause_s | 60.0   |
      | pause_s: 2            | test.pause_s | 2.0    |
      | rate: "5 requests/s"  | test.rate    | 5.0    |
      | 'share': "15%"        | test.share   | 0.15   |
      | copies: 3.0           | test.copies  | 3      |
      | names: ["a", "b"]     | test.names   | ["a", "b"] |

  # Guards against values inherited from the wrong branch.
  Scenario Outline: <path> for <org> and <target> comes from <origin>
    Given the branches
      | branch               | parent            | settings                                   |
      | fleet                |                   | {"test.rate": 5.0, "test.copies": 2}       |
      | organisations/large  |                   | {"test.rate": 50.0}                        |
      | organisations/kelani | organisations/large | {}                                       |
      | models/gecko         |                   | {"test.copies": 4}                         |
      | models/gecko/versions/2 |                | {"test.pause_s": 1.0}                      |
    Then "<path>" for "<org>" and "<target>" is <value> from "<origin>" of version <version>

    Examples:
      | path         | org    | target                  | value | origin              | version |
      | test.rate    | kelani | services/desk           | 50.0  | organisations/large | 2       |
      | test.rate    | other  | models/gecko            | 5.0   | fleet               | 1       |
      | test.copies  | kelani | models/gecko/versions/2 | 4     | models/gecko        | 4       |
      | test.copies  | kelani | models/gecko/versions/9 | 4     | models/gecko        | 4       |
      | test.copies  | kelani | models/other            | 2     | fleet               | 1       |
      | test.pause_s | kelani | models/gecko/versions/2 | 1.0   | models/gecko/versions/2 | 5   |
      | test.mode    | kelani | models/gecko            | "steady" | default          | 0       |

  # Guards against endless resolution and against missing parents.
  Scenario Outline: The parent <parent> of <branch> is refused
    Given the branches
      | branch         | parent       | settings |
      | models/a       |              | {}       |
      | models/b       | models/a     | {}       |
      | services/desk  |              | {}       |
    When "<branch>" is checked with the parent "<parent>"
    Then the check fails because "<reason>"

    Examples:
      | branch   | parent              | reason         |
      | models/a | models/b            | form a cycle   |
      | models/a | models/a            | form a cycle   |
      | models/a | models/a/versions/1 | does not exist |
      | models/c | models/none         | does not exist |
      | models/c | services/desk       | same family    |
      | fleet    | models/a            | has no parent  |

  # Guards against an unchanged value that is reported as newly set.
  Scenario: A value keeps the version that set it when its branch changes
    Given the branches
      | branch | parent | settings                             |
      | fleet  |        | {"test.rate": 5.0, "test.copies": 2} |
      | fleet  |        | {"test.rate": 5.0, "test.copies": 3} |
    Then "test.rate" for "kelani" and "models/a" is 5.0 from "fleet" of version 1
    And "test.copies" for "kelani" and "models/a" is 3 from "fleet" of version 2

  # Guards against deltas applied twice, out of order or to a forked version.
  Scenario: A delta fits only the version it was made for
    Given the branches
      | branch | parent | settings           |
      | fleet  |        | {"test.rate": 5.0} |
      | fleet  |        | {"test.rate": 6.0} |
    Then each delta is refused by every version but its predecessor
    And a delta with a changed value, branch, parent or removal is refused

  # Guards against a full state that resolves differently once decoded.
  Scenario: A full state survives encoding, and malformed ones are refused
    Given the branches
      | branch              | parent | settings           |
      | fleet               |        | {"test.rate": 5.0} |
      | organisations/large |        | {"test.rate": 9.0} |
    Then the decoded full state resolves the same
    And cut or changed full states, deltas and records raise CodecError

  # Guards against a parser that raises, hangs or accepts invalid input.
  Scenario: Bad input is refused, never raised
    Then 600 generated bad documents are refused with a reason and a line
    And 300 generated good documents are accepted with the same values

  # Guards against inconsistent declarations and outdated documentation.
  Scenario: Every declared setting is consistent and documented
    Then every declaration accepts its default and has one axis
    And docs/settings.md is what the declarations give

  # Guards against an edit of one setting that loses a comment or another
  # setting, or leaves a document that cannot be read.
  Scenario: Setting and unsetting keeps comments and other settings
    Then 400 generated documents keep their comments when a setting changes
