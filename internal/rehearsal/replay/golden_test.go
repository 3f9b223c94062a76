package replay

// goldenV1 is the summary of testdata/v1.rehearsal that TestGolden expects.
const goldenV1 = "11 65 5 {12401 0 0 1  0} {1980088 0 0 1  0} linux/amd64 0x9d8c884a315a6a97"
